"""Addresses of hosts in tests without sockets: sound ones, that lead to a host's id."""

import zlib

_hosts_by_address = {}


def fake_address(host_id):
    """Returns the address that stands for a host."""
    number = zlib.crc32(host_id.encode())
    octets = ".".join(str(byte) for byte in number.to_bytes(4, "big")[1:])
    address = f"10.{octets}:{number % 65_535 + 1}"
    assert _hosts_by_address.setdefault(address, host_id) == host_id
    return address


def host_at(address):
    """Returns the id of the host that an address stands for, or else the address."""
    return _hosts_by_address.get(address, address)
