"""The catalogue object as it is stored."""

from typing import Final, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from toucanhall.catalogue import Revision
from toucanhall.catalogue.reading import revise_after
from toucanhall.documents import Finding

__all__ = (
    'CATALOGUE_NAME',
    'Record',
    'decode',
    'encode',
    'parse',
    'make_successor',
)

CATALOGUE_NAME: Final = 'catalogue'
_MAX_HISTORY_CHANGES: Final = 32


class Record(NamedTuple):
    """The number of a revision, its change id and its JSON document.

    `history` holds the change ids of the preceding revisions, latest last.
    """

    number: int = 0
    change: str = ''
    document: str = ''
    history: tuple[str, ...] = ()


def make_successor(
    base: Record,
    number: int,
    change: str,
    document: bytes,
) -> Record:
    """Return the record that replaces `base`."""
    history = (*base.history, base.change)[-_MAX_HISTORY_CHANGES:]
    return Record(number, change, document.decode(), history)


def encode(
    number: int,
    change: str,
    document: bytes,
    base: Record | None = None,
) -> bytes:
    """Return the content of the catalogue object."""
    record = make_successor(base or Record(), number, change, document)
    return msgspec.json.encode(record)


def parse(content: bytes) -> Result[Record, tuple[Finding, ...]]:
    """Decode the record, not its catalogue; empty content is revision 0."""
    if not content:
        return Success(Record())
    try:
        return Success(msgspec.json.decode(content, type=Record))
    except msgspec.MsgspecError as error:
        return Failure((Finding(CATALOGUE_NAME, str(error), 'a record'),))


def decode(
    content: bytes,
    held: Revision | None = None,
) -> Result[Revision, tuple[Finding, ...]]:
    """Decode the content of the catalogue object; see `revise_after`."""
    return parse(content).bind(
        lambda record: revise_after(
            held,
            record.number,
            record.change,
            record.document.encode(),
        ),
    )
