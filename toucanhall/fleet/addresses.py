"""Checks IP addresses that other VMs sent before a socket uses them.

A socket resolves any other text as a host name, which blocks the event loop or
fails in a way that closes the socket for good.
"""

import socket

__all__ = ('is_ip',)


def is_ip(text: str) -> bool:
    """Whether a text is an IPv4 address in dotted form."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True
