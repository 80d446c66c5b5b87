"""Signed tokens in requests and answers between entry VMs."""

import base64
import binascii
from typing import Final, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from toucanhall.transport import Envelope, FrameError, seal, unseal
from toucanhall.transport.exchange import Identity

__all__ = (
    'HOP_HEADER',
    'Disclaimer',
    'Hop',
    'is_disclaimed',
    'make_disclaimer',
    'make_token',
    'read_token',
)

HOP_HEADER: Final = 'toucanhall-hop'

_Record = TypeVar('_Record')


class Hop(NamedTuple):
    """The first VM's decision, with the seconds remaining for the request."""

    team: str
    key_digest: str
    request_id: str
    method: str
    target: str
    seconds: float
    zone: str = ''
    is_retry: bool = False


class Disclaimer(NamedTuple):
    """A statement of an entry VM that it did not and will not run a request."""

    request_id: str


def make_disclaimer(identity: Identity, request_id: str) -> str:
    """Return the signed header value of a disclaimer."""
    disclaimer = Disclaimer(request_id)
    frame = seal(identity.secret, identity.vm, identity.start, disclaimer)
    return base64.urlsafe_b64encode(frame).decode()


def is_disclaimed(secret: bytes, token: str, request_id: str) -> bool:
    """Return whether a header value is a valid disclaimer of a request."""
    decoded = _unseal_token(secret, token).bind(
        lambda envelope: _decode(envelope.kind, envelope.body, Disclaimer),
    )
    return decoded == Success(Disclaimer(request_id))


def make_token(identity: Identity, hop: Hop) -> str:
    """Return the signed header value of a hop."""
    frame = seal(identity.secret, identity.vm, identity.start, hop)
    return base64.urlsafe_b64encode(frame).decode()


def read_token(secret: bytes, token: str) -> Result[Hop, FrameError]:
    """Verify a header value and return the hop in it."""
    return _unseal_token(secret, token).bind(
        lambda envelope: _decode(envelope.kind, envelope.body, Hop),
    )


def _unseal_token(secret: bytes, token: str) -> Result[Envelope, FrameError]:
    try:
        frame = base64.urlsafe_b64decode(token.encode())
    except (binascii.Error, ValueError) as error:
        return Failure(FrameError('damaged', str(error)))
    return unseal(secret, frame)


def _decode(
    kind: str,
    body: msgspec.Raw,
    record: type[_Record],
) -> Result[_Record, FrameError]:
    if kind != record.__name__:
        return Failure(FrameError('unknown', kind))
    try:
        return Success(msgspec.msgpack.decode(body, type=record))
    except msgspec.MsgspecError as error:
        return Failure(FrameError('damaged', str(error)))
