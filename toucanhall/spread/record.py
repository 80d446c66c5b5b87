"""The catalogue object as it lies in the store."""

from typing import Final, NamedTuple

import msgspec
from returns.result import Failure, Result

from toucanhall.catalogue import Revision
from toucanhall.catalogue.reading import revise
from toucanhall.documents import Finding

__all__ = ('CATALOGUE_NAME', 'Record', 'decode', 'encode')

CATALOGUE_NAME: Final = 'catalogue'


class Record(NamedTuple):
    """The number of a revision, its change id and its JSON document."""

    number: int
    change: str
    document: str


def encode(number: int, change: str, document: bytes) -> bytes:
    """Return the content of the catalogue object."""
    return msgspec.json.encode(Record(number, change, document.decode()))


def decode(content: bytes) -> Result[Revision, tuple[Finding, ...]]:
    """Read the content of the catalogue object."""
    try:
        record = msgspec.json.decode(content, type=Record)
    except msgspec.MsgspecError as error:
        return Failure((Finding(CATALOGUE_NAME, str(error), 'a record'),))
    return revise(record.number, record.change, record.document.encode())
