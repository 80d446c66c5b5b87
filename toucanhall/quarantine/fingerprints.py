"""Fingerprints of requests: equal for the same request, sent once more."""

from hashlib import blake2b
from typing import Final

__all__ = ('compute_fingerprint',)

_DIGEST_BYTES: Final = 16


def compute_fingerprint(
    method: bytes, host: str, path: str, team: str, body: bytes
) -> str:
    """Return the fingerprint of a request, as hexadecimal digits.

    `path` includes the query. Requests that a team sends again have another
    id, but the same fingerprint. No other request can be made to share it.
    """
    digest = blake2b(body, digest_size=_DIGEST_BYTES)
    head = f'\0{host}\0{path}\0{team}\0'.encode('utf-8', 'surrogateescape')
    digest.update(head + method)
    return digest.hexdigest()
