"""Decodes the answers of the store, each object on its own.

Other writers may leave entries that no decoder takes: one of them must not
keep a VM from the rest of a table.
"""

from typing import Any, Final, NamedTuple

import msgspec

from toucanhall.platform.nesting import cut_nested_values

__all__ = (
    'Change',
    'InvalidAnswerError',
    'Page',
    'UndecodableSpec',
    'decode_object',
    'decode_page',
)


class InvalidAnswerError(ValueError):
    """An answer of the store is no list of objects or events."""


class UndecodableSpec(NamedTuple):
    """The content of an object that cannot be decoded, and why."""

    why: str


class Change(NamedTuple):
    """An object of the store; `spec` is None if it was deleted."""

    name: str
    revision: int
    spec: Any


class Page(NamedTuple):
    """Objects or changes as of a revision, and whether more objects follow."""

    revision: int
    changes: tuple[Change, ...]
    has_more: bool


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Answer(msgspec.Struct):
    as_of: int
    items: list[_Object] | None = None
    events: list[_Event] | None = None
    more: bool = False


_ANSWER_DECODER: Final = msgspec.json.Decoder(_Answer)


def decode_page(body: bytes) -> Page:
    """Decode a page of objects, or the events of a watch.

    Raises InvalidAnswerError.
    """
    try:
        answer = _decode_answer(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidAnswerError(str(error)) from error
    if answer.items is not None:
        changes = tuple(map(_decode_object, answer.items))
    elif answer.events is not None:
        changes = tuple(map(_decode_event, answer.events))
    else:
        raise InvalidAnswerError('neither items nor events')
    return Page(answer.as_of, changes, bool(answer.more and changes))


def decode_object(body: bytes) -> Change:
    """Decode a single object; raises InvalidAnswerError."""
    try:
        return _decode_object(msgspec.json.decode(body, type=_Object))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidAnswerError(str(error)) from error


def _decode_answer(body: bytes) -> _Answer:
    try:
        return _ANSWER_DECODER.decode(body)
    except RecursionError:
        return _ANSWER_DECODER.decode(cut_nested_values(body))


def _decode_event(event: _Event) -> Change:
    change = _decode_object(event.object)
    return change._replace(spec=None) if event.deleted else change


def _decode_object(entry: _Object) -> Change:
    return Change(
        entry.metadata.name, entry.metadata.revision, _decode_spec(entry.spec)
    )


def _decode_spec(spec: msgspec.Raw) -> Any:
    try:
        return msgspec.json.decode(spec)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return UndecodableSpec(f'{type(error).__name__}: {error}')
