"""Addresses of processes: an IPv4 number and a port, such as `127.0.0.1:7000`.

Names aren't looked up. An address that another process wrote is checked where it is
decoded; one that can't be dialled names nobody.
"""

import re
from typing import Annotated

from msgspec import Meta

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IP = rf"{_OCTET}(?:\.{_OCTET}){{3}}"
_PORT = (
    "(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    "|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
_DIALABLE = re.compile(f"({_IP}):({_PORT})")
_BINDABLE = re.compile(f"({_IP}):({_PORT}|0)")

DialableAddress = Annotated[str, Meta(pattern=rf"\A{_IP}:{_PORT}\Z")]
OptionalAddress = Annotated[str, Meta(pattern=rf"\A(?:{_IP}:{_PORT})?\Z")]
"""An address that can be dialled, or an empty text."""


class InvalidAddressError(OSError):
    """A text isn't the address of a process, so that none can be reached there."""


def split_address(address: str) -> tuple[str, int]:
    """Splits the `IP:port` of a process into its parts.

    Raises:
        InvalidAddressError: If it is anything else.
    """
    return _split(address, _DIALABLE)


def split_listen_address(address: str) -> tuple[str, int]:
    """Splits an `IP:port` to listen on; with port 0, the kernel chooses one.

    Raises:
        InvalidAddressError: If it is anything else.
    """
    return _split(address, _BINDABLE)


def _split(address: str, form: re.Pattern[str]) -> tuple[str, int]:
    match = form.fullmatch(address)
    if match is None:
        raise InvalidAddressError(f"{address[:80]!r} is not an IP number and a port")
    ip, port = match.groups()
    return ip, int(port)
