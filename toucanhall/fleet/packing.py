"""Compresses data that VMs send each other, and decompresses it in bounds."""

import zlib
from typing import Final

__all__ = ('pack', 'pack_beside', 'unpack', 'unpack_beside')

# A table of 813 targets shrinks to 0.4 of its size in 1.3 ms; with the default
# level of zlib, to 0.35 in 4 ms.
_COMPRESSION_LEVEL: Final = 1


def pack(encoded: bytes) -> bytes:
    """Compress bytes."""
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def pack_beside(encoded: bytes, other: bytes) -> bytes:
    """Compress bytes for a reader that has others, much like them."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL, zdict=other)
    return compressor.compress(encoded) + compressor.flush()


def unpack(packed: bytes, max_bytes: int) -> bytes:
    """Return the bytes that were packed.

    Raises `zlib.error` when the packed bytes are invalid or truncated, or hold
    more than `max_bytes`.
    """
    unpacked, _rest = unpack_beside(packed, b'', max_bytes)
    return unpacked


def unpack_beside(
    packed: bytes, other: bytes, max_bytes: int
) -> tuple[bytes, bytes]:
    """Return the bytes that were packed beside others, and what follows them.

    `other` is empty for bytes that were packed by themselves. Raises
    `zlib.error` as `unpack` does.
    """
    decompressor = zlib.decompressobj(zdict=other)
    unpacked = decompressor.decompress(packed, max_bytes)
    if not decompressor.eof:
        raise zlib.error(
            f'compressed data truncated, or longer than {max_bytes} bytes',
        )
    return unpacked, decompressor.unused_data
