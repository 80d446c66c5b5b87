"""Encodes messages and authenticates them with the secret of the fleet."""

import hashlib
import hmac
from typing import Any, Final, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

__all__ = ('Envelope', 'FrameError', 'seal', 'unseal')

_DIGEST_BYTES: Final = 16


class Envelope(NamedTuple):
    """A message with its type, its sender and the encoded body."""

    kind: str
    vm: str
    start: str
    body: msgspec.Raw


class FrameError(NamedTuple):
    """Why a frame was rejected; `reason` is part of a counter's name."""

    reason: str
    what: str


def seal(
    secret: bytes,
    vm: str,
    start: str,
    message: tuple[Any, ...],
) -> bytes:
    """Encode and sign a message; `kind` is the name of its class."""
    kind = type(message).__name__
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    payload = msgspec.msgpack.encode(Envelope(kind, vm, start, body))
    return _sign(secret, payload) + payload


def unseal(secret: bytes, frame: bytes) -> Result[Envelope, FrameError]:
    """Verify the digest of a frame and return its envelope."""
    digest = frame[:_DIGEST_BYTES]
    payload = frame[_DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _sign(secret, payload)):
        return Failure(FrameError('forged', f'{len(frame)} bytes'))
    try:
        return Success(msgspec.msgpack.decode(payload, type=Envelope))
    except msgspec.MsgspecError as error:
        return Failure(FrameError('damaged', str(error)))


def _sign(secret: bytes, payload: bytes) -> bytes:
    key = hashlib.sha256(secret).digest()
    return hashlib.blake2b(payload, key=key, digest_size=_DIGEST_BYTES).digest()
