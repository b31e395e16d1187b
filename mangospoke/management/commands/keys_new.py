"""`mangospoke keys new`: make a key."""

import secrets
import sys
from typing import Annotated

import msgspec
from cyclopts import Parameter
from msgspec import Struct

from mangospoke.checks.names import is_name
from mangospoke.keys import generate_secret, hash_secret
from mangospoke.management.exits import CommandError, ExitCode

_KEY_ID_BYTES = 4
_NAME_HINT = "use letters, digits, _ and -, and begin with a letter or digit"


class NewKey(Struct, frozen=True):
    """A fresh key, as `--json` prints it.

    Attributes:
        key: What the caller sends; shown once and kept nowhere.
        declaration: The key's TOML for the base file.
    """

    key_id: str
    key: str
    hash: str
    declaration: str


def run(
    account: str = "ACCOUNT",
    *,
    key_id: str = "",
    json: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Makes a client account's key.

    The key goes to the client account's owner; the declaration, which holds only its
    hash, goes into the base file.

    Args:
        account: Id of the client account, for the declaration.
        key_id: Id of the key; made up if not given.
        json: Print JSON.
    """
    for name in (account, key_id or account):
        if not is_name(name):
            raise CommandError(ExitCode.USAGE, f"{name!r} isn't a name", _NAME_HINT)
    key = make_key(account, key_id or secrets.token_hex(_KEY_ID_BYTES))
    if json:
        print(msgspec.json.encode(key).decode())
        return
    print("Give this key to the caller; it is shown only once:", file=sys.stderr)
    print(key.key)
    print("Put this into the base file:", file=sys.stderr)
    print(key.declaration)


def make_key(account: str, key_id: str) -> NewKey:
    """Makes a key and its declaration."""
    secret = generate_secret()
    key_hash = hash_secret(secret)
    declaration = f'[accounts.{account}.keys.{key_id}]\nhash = "{key_hash}"'
    return NewKey(key_id, f"{key_id}.{secret}", key_hash, declaration)
