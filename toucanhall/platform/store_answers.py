"""Decodes the answers of the store, each object on its own.

Other writers may leave entries that no decoder takes: one of them must not
keep a VM from the rest of a table. An answer with such an entry is split into
its objects first.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final, NamedTuple

import msgspec

from toucanhall.platform.json_parts import split_list, split_object
from toucanhall.platform.nesting import cut_nested_values
from toucanhall.platform.store_objects import (
    DECODE_ERRORS,
    Change,
    StoredEvent,
    StoredObject,
    decode_boolean,
    decode_stored_event,
    decode_stored_object,
    make_change,
    make_event_change,
)

__all__ = ('InvalidAnswerError', 'Page', 'decode_object', 'decode_page')

_NO_TABLE: Final = 'neither items nor events'


class InvalidAnswerError(ValueError):
    """An answer of the store is no list of objects or events."""


class Page(NamedTuple):
    """Objects or changes as of a revision, and whether more objects follow.

    `unnamed` tells of each object whose name or revision cannot be read.
    """

    revision: int
    changes: tuple[Change, ...]
    has_more: bool
    unnamed: tuple[str, ...] = ()


class _Answer(msgspec.Struct):
    as_of: int
    items: list[StoredObject] | None = None
    events: list[StoredEvent] | None = None
    more: bool = False


_ANSWER_DECODER: Final = msgspec.json.Decoder(_Answer)
_ITEM_DECODERS: Final[Mapping[str, Callable[[bytes], Change | str]]] = {
    'items': decode_stored_object,
    'events': decode_stored_event,
}


def decode_page(body: bytes) -> Page:
    """Decode a page of objects, or the events of a watch.

    Raises InvalidAnswerError.
    """
    try:
        return _decode(body)
    except RecursionError:
        return _decode(cut_nested_values(body))


def decode_object(body: bytes) -> Change:
    """Decode a single object; raises InvalidAnswerError."""
    found = decode_stored_object(body)
    if isinstance(found, str):
        raise InvalidAnswerError(found)
    return found


def _decode(body: bytes) -> Page:
    try:
        return _decode_at_once(body)
    except msgspec.MsgspecError:
        return _decode_apart(body)


def _decode_at_once(body: bytes) -> Page:
    answer = _ANSWER_DECODER.decode(body)
    if answer.items is not None:
        changes = tuple(map(make_change, answer.items))
    elif answer.events is not None:
        changes = tuple(map(make_event_change, answer.events))
    else:
        raise InvalidAnswerError(_NO_TABLE)
    return Page(answer.as_of, changes, bool(answer.more and changes))


def _decode_apart(body: bytes) -> Page:
    try:
        parts = split_object(body)
        found = list(_decode_parts(parts))
        revision = msgspec.json.decode(parts['as_of'], type=int)
        has_more = decode_boolean(parts, 'more')
    except DECODE_ERRORS as error:
        raise InvalidAnswerError(repr(error)) from error
    changes = tuple(change for change in found if isinstance(change, Change))
    unnamed = tuple(why for why in found if isinstance(why, str))
    if unnamed and not changes and 'items' in parts:
        # As an empty list it would remove all objects that are known.
        raise InvalidAnswerError('no object of a page has a readable name')
    return Page(revision, changes, bool(has_more and changes), unnamed)


def _decode_parts(parts: Mapping[str, bytes]) -> Iterator[Change | str]:
    for name, decode in _ITEM_DECODERS.items():
        listed = parts.get(name)
        if listed is not None:
            return map(decode, split_list(listed))
    raise ValueError(_NO_TABLE)
