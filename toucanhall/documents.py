"""Reads JSON documents with comments and checks them against a schema."""

import difflib
import math
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import json5
import jsonschema
from jsonschema.exceptions import ValidationError
from jsonschema.validators import extend
from returns.result import Failure, Result, Success

from toucanhall.formats import CHECKER, FORMATS

__all__ = ('Document', 'Finding', 'check', 'check_object', 'parse', 'render')

Document: TypeAlias = Mapping[str, Any]

_MAX_QUOTED_CHARACTERS: Final = 60  # of an invalid value that an error quotes


class Finding(NamedTuple):
    """An error in a document: its path, what was found and what is allowed."""

    path: str
    found: str
    allowed: str


def render(finding: Finding) -> str:
    """Return a finding as one line of text."""
    return f'{finding.path}: found {finding.found}, allowed: {finding.allowed}'


def parse(text: str) -> Result[Document, tuple[Finding, ...]]:
    """Parse a JSON document with comments; reject duplicate names."""
    try:
        parsed = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Failure((Finding('$', str(error), 'JSON with comments'),))
    return check_object(parsed)


def check_object(parsed: object) -> Result[Document, tuple[Finding, ...]]:
    """Check that a parsed document is an object with finite numbers."""
    if not isinstance(parsed, dict):
        return Failure((Finding('$', _quote(parsed), 'an object'),))
    findings = tuple(_find_non_finite_numbers(parsed, '$'))
    return Failure(findings) if findings else Success(parsed)


def check(
    document: Document,
    schema: Document,
) -> Result[Document, tuple[Finding, ...]]:
    """Check a document against a schema; return all errors, sorted by path."""
    validator = _Validator(schema, format_checker=CHECKER)
    errors = sorted(validator.iter_errors(document), key=_get_path)
    findings = tuple(finding for error in errors for finding in _explain(error))
    if findings:
        return Failure(findings)
    return Success(document)


def _find_non_finite_numbers(found: object, path: str) -> Iterator[Finding]:
    if isinstance(found, float) and not math.isfinite(found):
        yield Finding(path, str(found), 'a finite number')
    for step, entry in _list_entries(found):
        yield from _find_non_finite_numbers(entry, f'{path}{step}')


def _list_entries(found: object) -> Iterator[tuple[str, object]]:
    if isinstance(found, dict):
        yield from ((f'.{name}', entry) for name, entry in found.items())
    elif isinstance(found, list):
        yield from ((f'[{index}]', entry) for index, entry in enumerate(found))


def _is_integer(_checker: object, found: object) -> bool:
    return isinstance(found, int) and not isinstance(found, bool)


def _get_path(error: ValidationError) -> str:
    return error.json_path


def _explain(error: ValidationError) -> Iterator[Finding]:
    explain = _EXPLANATIONS.get(str(error.validator), _explain_value)
    return explain(error)


def _explain_value(error: ValidationError) -> Iterator[Finding]:
    allowed = f'{error.validator} {error.validator_value}'
    yield Finding(error.json_path, _quote(error.instance), allowed)


def _explain_format(error: ValidationError) -> Iterator[Finding]:
    allowed = FORMATS[str(error.validator_value)].allowed
    yield Finding(error.json_path, _quote(error.instance), allowed)


def _explain_unknown_field(error: ValidationError) -> Iterator[Finding]:
    schema: Document = error.schema  # type: ignore[assignment]
    instance: Document = error.instance  # type: ignore[assignment]
    known = sorted(schema.get('properties', ()))
    for name in sorted(set(instance) - set(known)):
        similar = difflib.get_close_matches(name, known, n=1)
        allowed = (
            f'did you mean {similar[0]!r}?' if similar else ', '.join(known)
        )
        yield Finding(error.json_path, f'unknown field {name!r}', allowed)


def _explain_missing_field(error: ValidationError) -> Iterator[Finding]:
    missing = error.message.split(' is a required')[0]
    yield Finding(error.json_path, f'no field {missing}', 'the field is needed')


def _quote(found: object) -> str:
    text = repr(found)
    if len(text) > _MAX_QUOTED_CHARACTERS:
        return f'{text[:_MAX_QUOTED_CHARACTERS]}...'
    return text


_Validator: Final = extend(  # type: ignore[no-untyped-call]
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        'integer',
        _is_integer,
    ),
)
_EXPLANATIONS: Final = {
    'additionalProperties': _explain_unknown_field,
    'format': _explain_format,
    'required': _explain_missing_field,
}
