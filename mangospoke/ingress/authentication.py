"""Authentication of a request by the key in its Authorization header."""

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.http import fields
from mangospoke.http.messages import HttpRequest
from mangospoke.ids import ClientAccountId, KeyId
from mangospoke.keys import split_key, verify_secret
from mangospoke.verdicts import RefusalReason, Refused

_SCHEME = b"bearer "


def authenticate(
    request: HttpRequest, configuration: EffectiveConfiguration
) -> tuple[ClientAccountId, KeyId] | Refused:
    """Finds the client account that a request's key belongs to."""
    value = request.field(fields.AUTHORIZATION)
    if value is None or value[: len(_SCHEME)].lower() != _SCHEME:
        return Refused(RefusalReason.UNAUTHENTICATED, "send `Bearer KEY_ID.SECRET`")
    id_and_secret = split_key(value[len(_SCHEME) :].strip())
    key = configuration.keys_by_id.get(id_and_secret[0]) if id_and_secret else None
    if (
        id_and_secret is None
        or key is None
        or key.key_hash is None
        or not verify_secret(id_and_secret[1], key.key_hash)
    ):
        return Refused(RefusalReason.UNAUTHENTICATED, "the key is unknown")
    if key.withdrawn:
        return Refused(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
    return key.account_id, id_and_secret[0]
