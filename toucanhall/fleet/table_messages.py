"""Encodes and decodes what VMs that pass tables send each other."""

import zlib
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from toucanhall.fleet.model import Snapshot
from toucanhall.fleet.packing import pack, unpack
from toucanhall.fleet.record_forms import (
    CURRENT_FORM,
    FIRST_FORM,
    THIRD_FORM,
    cut_record,
)
from toucanhall.fleet.record_reading import RecordReader
from toucanhall.fleet.revisions import Revision, Revisions

__all__ = (
    'SNAPSHOT_ERRORS',
    'SnapshotReader',
    'decode_revisions',
    'encode_revisions',
    'find_query_form',
    'pack_snapshot',
)

SNAPSHOT_ERRORS: Final = (msgspec.MsgspecError, zlib.error)

# Of an unpacked snapshot: over ten times the one of 3,100 targets.
_MAX_SNAPSHOT_BYTES: Final = 4_000_000
# Builds of the first form refuse a query with more revisions than two, the
# next ones a query of any other count than three.
_FIRST_REVISIONS_COUNT: Final = 2


class SnapshotReader:
    """Unpacks and decodes the tables of other VMs."""

    def __init__(
        self, *, on_unknown: Callable[[Mapping[str, int]], None]
    ) -> None:
        """`on_unknown` gets how many unknown fields each record has."""
        self._reader = RecordReader(Snapshot, on_unknown=on_unknown)

    def read(self, packed: bytes) -> Snapshot:
        """Return tables; raise one of `SNAPSHOT_ERRORS` if invalid."""
        return self._reader.read(unpack(packed, _MAX_SNAPSHOT_BYTES))


def pack_snapshot(snapshot: Snapshot, form: int) -> bytes:
    """Return tables for a VM that reads a form."""
    return pack(msgspec.msgpack.encode(cut_record(snapshot, form)))


def encode_revisions(revisions: Revisions, form: int) -> bytes:
    """Encode the version, then era and number of each revision."""
    configuration, *tables = cut_record(revisions, form)
    numbers = [configuration]
    for table in tables:
        numbers.extend(table)
    return b','.join(b'%d' % number for number in numbers)


def decode_revisions(query: bytes) -> Revisions:
    """Decode revisions; raise TypeError or ValueError if they are invalid.

    Those that an earlier build does not have are not known; those that only a
    later build has are passed over.
    """
    version, *numbers = map(int, query.split(b','))
    if len(numbers) < 2 * _FIRST_REVISIONS_COUNT:
        raise ValueError(f'{_FIRST_REVISIONS_COUNT} revisions are needed')
    pairs = zip(numbers[::2], numbers[1::2], strict=True)
    tables = [Revision(*pair) for pair in pairs]
    known_count = len(Revisions._fields) - 1
    return Revisions(version, *tables[:known_count])


def find_query_form(query: bytes, header: bytes | None) -> int:
    """Return the form that a VM reads, by its query and the form it names."""
    if header is not None:
        return CURRENT_FORM
    count = query.count(b',') // 2
    return FIRST_FORM if count <= _FIRST_REVISIONS_COUNT else THIRD_FORM
