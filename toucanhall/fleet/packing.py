"""Compresses data that VMs send each other, and decompresses it in bounds."""

import zlib
from typing import Final

__all__ = ('pack', 'unpack')

# A table of 813 targets shrinks to 0.4 of its size in 1.3 ms; with the default
# level of zlib, to 0.35 in 4 ms.
_COMPRESSION_LEVEL: Final = 1


def pack(encoded: bytes) -> bytes:
    """Compress bytes."""
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def unpack(packed: bytes, max_bytes: int) -> bytes:
    """Return the bytes that were packed.

    Raises `zlib.error` when the packed bytes are invalid or truncated, or hold
    more than `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(packed, max_bytes)
    if not decompressor.eof:
        raise zlib.error(
            f'compressed data truncated, or longer than {max_bytes} bytes',
        )
    return unpacked
