"""Packs messages between VMs as datagrams that any build can read.

The first byte says how the rest is packed. Builds of the first three forms know
the marks 0 (plain) and 1 (compressed), and pass over what follows the end of
the compressed data. There a build of the current form adds what they don't
know: a byte alone if the message was sent whole, else the whole message,
compressed by reference to the cut one.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import msgspec

from toucanhall.fleet.packing import pack, pack_beside, unpack, unpack_beside
from toucanhall.fleet.record_forms import CURRENT_FORM, cut_record, find_form

__all__ = ('Datagram', 'UnknownMarkError', 'pack_datagram', 'unpack_datagram')

_MAX_DECODED_BYTES: Final = 1 << 20  # ten times the largest report
# Reports repeat the names of VMs and teams: they shrink below three fifths.
# Compressing what fits in one packet of a link gains too little for its time.
_MIN_COMPRESSED_BYTES: Final = 1200
_EARLIER_PLAIN: Final = b'\x00'
_EARLIER_COMPRESSED: Final = b'\x01'
_PLAIN: Final = b'\x02'
_COMPRESSED: Final = b'\x03'
# Of what follows the compressed data.
_IS_WHOLE: Final = b'\x02'
_IS_CUT: Final = b'\x03'
# Raised for content that is no message: its reader tells why.
_MISFIT_ERRORS: Final = (TypeError, ValueError, RecursionError)
_MIN_FIELDS: Final = 3  # of a message, in all forms


class UnknownMarkError(ValueError):
    """A datagram is packed in a way that this build does not know."""


class Datagram(NamedTuple):
    """An encoded message and the form that its sender reads, if known."""

    encoded: bytes
    form: int | None


def pack_datagram(message: tuple[Any, ...], form: int) -> bytes:
    """Return a message as a datagram to a VM that reads a form."""
    encoded = _encode(message)
    if form >= CURRENT_FORM:
        if len(encoded) < _MIN_COMPRESSED_BYTES:
            return _PLAIN + encoded
        return _COMPRESSED + pack(encoded)
    cut = _encode(cut_record(message, form))
    addition = _IS_WHOLE
    if cut != encoded:
        addition = _IS_CUT + pack_beside(encoded, cut)
    return _EARLIER_COMPRESSED + pack(cut) + addition


def unpack_datagram(received: bytes) -> Datagram:
    """Return the message in a datagram.

    Raises `zlib.error`, `msgspec.MsgspecError` or `UnknownMarkError` if it is
    invalid.
    """
    mark = received[:1]
    unpacker = _UNPACKERS.get(mark)
    if unpacker is None:
        raise UnknownMarkError(f'datagram with the unknown mark {mark.hex()!r}')
    return unpacker(received[1:])


def _encode(message: tuple[Any, ...]) -> bytes:
    """Encode a message without the kinds at its end that it does not hold."""
    count = len(message)
    while count > _MIN_FIELDS and message[count - 1] is None:
        count -= 1
    return _ENCODER.encode(message[:count])


def _unpack_earlier(encoded: bytes) -> Datagram:
    try:
        return Datagram(encoded, find_form(msgspec.msgpack.decode(encoded)))
    except _MISFIT_ERRORS:
        return Datagram(encoded, None)


def _unpack_earlier_compressed(rest: bytes) -> Datagram:
    encoded, addition = unpack_beside(rest, b'', _MAX_DECODED_BYTES)
    if not addition:
        return _unpack_earlier(encoded)
    if addition[:1] == _IS_CUT:
        encoded, _rest = unpack_beside(
            addition[1:], encoded, _MAX_DECODED_BYTES
        )
    return Datagram(encoded, CURRENT_FORM)


_ENCODER: Final = msgspec.msgpack.Encoder()
_UNPACKERS: Final[Mapping[bytes, Callable[[bytes], Datagram]]] = {
    _EARLIER_PLAIN: _unpack_earlier,
    _EARLIER_COMPRESSED: _unpack_earlier_compressed,
    _PLAIN: lambda rest: Datagram(rest, CURRENT_FORM),
    _COMPRESSED: lambda rest: Datagram(
        unpack(rest, _MAX_DECODED_BYTES), CURRENT_FORM
    ),
}
