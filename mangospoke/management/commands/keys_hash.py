"""`mangospoke keys hash`: hash a key's secret."""

import getpass
import sys
from typing import Annotated

import msgspec
from cyclopts import Parameter

from mangospoke.keys import hash_secret
from mangospoke.management.exits import CommandError, ExitCode


def run(*, json: Annotated[bool, Parameter(negative="")] = False) -> None:
    """Hashes a secret, read from a prompt or from standard input.

    A whole key is taken too: what stands before its first dot is left out.

    Args:
        json: Print JSON.
    """
    secret = _read_secret()
    _, separator, after_dot = secret.partition(".")
    if separator:
        secret = after_dot
    if not secret:
        raise CommandError(ExitCode.USAGE, "the secret is empty")
    key_hash = hash_secret(secret)
    print(msgspec.json.encode({"hash": key_hash}).decode() if json else key_hash)


def _read_secret() -> str:
    if sys.stdin.isatty():
        return getpass.getpass("Secret: ").strip()
    return sys.stdin.readline().strip()
