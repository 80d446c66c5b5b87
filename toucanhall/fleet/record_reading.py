"""Reads records of other builds, and passes over what it does not know."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import (
    Any,
    Final,
    Generic,
    NoReturn,
    TypeVar,
    get_args,
    get_type_hints,
)

import msgspec

__all__ = ('RecordReader',)

Record = TypeVar('Record')

# Raised for an array where the type has a map, and the like.
_MISFIT_ERRORS: Final = (TypeError, RecursionError)


class RecordReader(Generic[Record]):
    """Decodes one type of record; see `record_forms.py` for the rule."""

    def __init__(
        self,
        kind: type[Record],
        *,
        on_unknown: Callable[[Mapping[str, int]], None],
    ) -> None:
        """`on_unknown` gets how many unknown fields each record has."""
        self._kind = kind
        self._decoder = msgspec.msgpack.Decoder(kind)
        self._on_unknown = on_unknown

    def read(self, encoded: bytes) -> Record:
        """Return a record; raise `msgspec.MsgspecError` if it is invalid."""
        try:
            return self._decoder.decode(encoded)
        except msgspec.ValidationError as error:
            return self._read_known(encoded, error)

    def _read_known(
        self, encoded: bytes, error: msgspec.ValidationError
    ) -> Record:
        """Return a record without the fields that this build lacks."""
        unknown: Counter[str] = Counter()
        try:
            known = _keep_known(
                self._kind, msgspec.msgpack.decode(encoded), unknown
            )
        except _MISFIT_ERRORS:
            _refuse(error)
        if not unknown:
            raise error
        record = msgspec.convert(known, self._kind)
        self._on_unknown(unknown)
        return record


def _refuse(error: msgspec.ValidationError) -> NoReturn:
    raise error


def _keep_known(kind: Any, found: Any, unknown: Counter[str]) -> Any:
    """Return decoded content without fields that its type does not have."""
    if isinstance(found, dict):
        part_kinds = _list_part_kinds(kind) or (Any,)
        return {
            name: _keep_known(part_kinds[-1], part, unknown)
            for name, part in found.items()
        }
    if not isinstance(found, list):
        return found
    record = _find_record(kind)
    if record is None:
        part_kinds = _list_part_kinds(kind) or (Any,)
        return [_keep_known(part_kinds[0], part, unknown) for part in found]
    fields = get_type_hints(record)
    excess = len(found) - len(fields)
    if excess > 0:
        unknown[record.__name__] += excess
    return [
        _keep_known(field, part, unknown)
        for field, part in zip(fields.values(), found, strict=False)
    ]


def _find_record(kind: Any) -> Any:
    """Return the type of record of a field, None if it holds none."""
    for choice in (kind, *get_args(kind)):
        if hasattr(choice, '_fields'):
            return choice if kind is choice or _is_optional(kind) else None
    return None


def _is_optional(kind: Any) -> bool:
    return type(None) in get_args(kind)


def _list_part_kinds(kind: Any) -> tuple[Any, ...]:
    """Return the types of the parts of a field, without None."""
    parts = tuple(part for part in get_args(kind) if part is not type(None))
    if _is_optional(kind) and len(parts) == 1:
        return _list_part_kinds(parts[0])
    return parts
