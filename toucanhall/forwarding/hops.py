"""The token by which one entry VM carries a request for another."""

import base64
import binascii
from typing import Final, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from toucanhall.transport import FrameError, seal, unseal
from toucanhall.transport.exchange import Identity

__all__ = ('HOP_HEADER', 'Hop', 'make_token', 'read_token')

HOP_HEADER: Final = 'toucanhall-hop'


class Hop(NamedTuple):
    """What the first VM decided: team, digest of the key, request id.

    `seconds` remain until the caller's deadline.
    """

    team: str
    key_digest: str
    request_id: str
    method: str
    target: str
    zone: str = ''
    seconds: float = 0.0
    is_retry: bool = False


def make_token(identity: Identity, hop: Hop) -> str:
    """Return the authenticated header value of a hop."""
    frame = seal(identity.secret, identity.vm, identity.start, hop)
    return base64.urlsafe_b64encode(frame).decode()


def read_token(secret: bytes, token: str) -> Result[Hop, FrameError]:
    """Check a header value and return the hop that it carries."""
    try:
        frame = base64.urlsafe_b64decode(token.encode())
    except (binascii.Error, ValueError) as error:
        return Failure(FrameError('damaged', str(error)))
    return unseal(secret, frame).bind(
        lambda envelope: _read_hop(envelope.kind, envelope.body),
    )


def _read_hop(kind: str, body: msgspec.Raw) -> Result[Hop, FrameError]:
    if kind != Hop.__name__:
        return Failure(FrameError('unknown', kind))
    try:
        return Success(msgspec.msgpack.decode(body, type=Hop))
    except msgspec.MsgspecError as error:
        return Failure(FrameError('damaged', str(error)))
