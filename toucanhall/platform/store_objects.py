"""Decodes single objects and events of the store.

Their names are read although other values in them cannot be decoded.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

from toucanhall.platform.json_parts import split_object

__all__ = (
    'DECODE_ERRORS',
    'Change',
    'StoredEvent',
    'StoredObject',
    'UndecodableSpec',
    'decode_boolean',
    'decode_stored_event',
    'decode_stored_object',
    'make_change',
    'make_event_change',
)

# Raised for a document that cannot be decoded, or lacks a part.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    KeyError,
)
# Of an object whose name cannot be read, in a log line.
_MAX_SHOWN_BYTES: Final = 100


class UndecodableSpec(NamedTuple):
    """The content of an object that cannot be decoded, and why."""

    why: str


class Change(NamedTuple):
    """An object of the store; `spec` is None if it was deleted."""

    name: str
    revision: int
    spec: Any


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class StoredObject(msgspec.Struct):
    """An object as the store answers it, its content undecoded."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class StoredEvent(msgspec.Struct):
    """A change of an object as the store answers it."""

    object: StoredObject
    deleted: bool = False


_OBJECT_DECODER: Final = msgspec.json.Decoder(StoredObject)


def decode_stored_object(document: bytes) -> Change | str:
    """Return an object, or why its name or revision cannot be read."""
    try:
        return make_change(_OBJECT_DECODER.decode(document))
    except (msgspec.MsgspecError, RecursionError):
        return _decode_apart(document)


def decode_stored_event(document: bytes) -> Change | str:
    """Return a change, or why its name or revision cannot be read."""
    try:
        parts = split_object(document)
        change = decode_stored_object(parts['object'])
        is_deleted = decode_boolean(parts, 'deleted')
    except DECODE_ERRORS as error:
        return _explain(document, error)
    if is_deleted and isinstance(change, Change):
        return change._replace(spec=None)
    return change


def decode_boolean(parts: Mapping[str, bytes], name: str) -> bool:
    """Return a part of a document, False if it is missing."""
    return msgspec.json.decode(parts.get(name, b'false'), type=bool)


def make_change(entry: StoredObject) -> Change:
    """Return an object with its content decoded."""
    return Change(
        entry.metadata.name, entry.metadata.revision, _decode_spec(entry.spec)
    )


def make_event_change(event: StoredEvent) -> Change:
    """Return a change with the content of its object decoded."""
    change = make_change(event.object)
    return change._replace(spec=None) if event.deleted else change


def _decode_apart(document: bytes) -> Change | str:
    try:
        parts = split_object(document)
        metadata = split_object(parts['metadata'])
        return Change(
            msgspec.json.decode(metadata['name'], type=str),
            msgspec.json.decode(metadata['revision'], type=int),
            _decode_spec(parts.get('spec', b'null')),
        )
    except DECODE_ERRORS as error:
        return _explain(document, error)


def _decode_spec(spec: msgspec.Raw | bytes) -> Any:
    try:
        return msgspec.json.decode(spec)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return UndecodableSpec(f'{type(error).__name__}: {error}')


def _explain(document: bytes, error: Exception) -> str:
    shown = document[:_MAX_SHOWN_BYTES]
    return f'object without a readable name: {error!r} in {shown!r}'
