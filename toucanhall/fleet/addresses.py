"""Addresses that others told: they are used as they stand, or refused.

A socket looks anything else up as a name, which stops the event loop, or fails
in a way that closes the socket for good.
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
