"""Addresses that others told: they are used as they stand, or refused.

A socket looks anything else up as a name, which stops the event loop, or fails
in a way that closes the socket for good.
"""

import socket
from typing import Final

from toucanhall.fleet.model import Address

__all__ = ('is_ip', 'read_target_address')

_MOST_PORT: Final = 65535


def is_ip(text: str) -> bool:
    """Whether a text is an IPv4 address in dotted form."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def read_target_address(text: str) -> Address:
    """Read `ip:port`; raise ValueError when it is something else."""
    host, _, port = text.rpartition(':')
    if not is_ip(host) or not 0 < int(port) <= _MOST_PORT:
        raise ValueError(f'{text!r} is not an address and port')
    return Address(host, int(port))
