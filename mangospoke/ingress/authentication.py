"""Who sent a request: the client account of the key that it carries."""

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.http import fields
from mangospoke.http.messages import HttpRequest
from mangospoke.ids import ClientAccountId, KeyId
from mangospoke.keys import is_secret_of, split_key
from mangospoke.verdicts import RefusalReason, Refused

_SCHEME = b"bearer "


def authenticate(
    request: HttpRequest, configuration: EffectiveConfiguration
) -> tuple[ClientAccountId, KeyId] | Refused:
    """Finds the client account whose key a request carries."""
    value = request.field(fields.AUTHORIZATION)
    if value is None or value[: len(_SCHEME)].lower() != _SCHEME:
        return Refused(RefusalReason.UNAUTHENTICATED, "send `Bearer KEY_ID.SECRET`")
    parts = split_key(value[len(_SCHEME) :].strip())
    key = configuration.keys_by_id.get(parts[0]) if parts else None
    if (
        parts is None
        or key is None
        or key.key_hash is None
        or not is_secret_of(parts[1], key.key_hash)
    ):
        return Refused(RefusalReason.UNAUTHENTICATED, "the key is unknown")
    if key.withdrawn:
        return Refused(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
    return key.account_id, parts[0]
