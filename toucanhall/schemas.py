"""Helpers that build the JSON schemas of settings and catalogue."""

from collections.abc import Mapping
from typing import Any, Final

from toucanhall.documents import Document

__all__ = (
    'COUNT',
    'DIGEST',
    'NAME',
    'NAMES',
    'POSITIVE',
    'describe',
    'make_array',
    'make_record',
    'make_table',
    'make_text',
)

_MAX_QUANTITY: Final = 1000000000  # larger values are surely mistakes


def make_text(format_name: str) -> Document:
    """Return the schema of a string in a format of `FORMATS`."""
    return {'type': 'string', 'format': format_name}


def make_record(
    required: Mapping[str, Document],
    optional: Mapping[str, Document] | None = None,
) -> dict[str, Any]:
    """Return the schema of an object with named fields."""
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': list(required),
        'properties': {**required, **(optional or {})},
    }


def make_table(record: Document) -> Document:
    """Return the schema of an object that maps names to records."""
    return {
        'type': 'object',
        'propertyNames': NAME,
        'additionalProperties': record,
    }


def make_array(entry: Document) -> Document:
    """Return the schema of a list."""
    return {'type': 'array', 'items': entry}


def describe(schema: Document, text: str) -> Document:
    """Return the schema with a description, shown in the generated pages."""
    return {**schema, 'description': text}


NAME: Final = make_text('name')
DIGEST: Final = make_text('digest')
NAMES: Final[Document] = {**make_array(NAME), 'uniqueItems': True}
POSITIVE: Final[Document] = {
    'type': 'number',
    'exclusiveMinimum': 0,
    'maximum': _MAX_QUANTITY,
}
COUNT: Final[Document] = {
    'type': 'integer',
    'minimum': 1,
    'maximum': _MAX_QUANTITY,
}
