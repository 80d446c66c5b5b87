"""Finds the fields for which VMs reject a configuration.

There is no second parser: a sample that VMs accept gets one field at a time of
the configuration, and `decode_configuration` judges it.
"""

import difflib
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final, TypeAlias

from toucanhall.configuration_check.findings import (
    Finding,
    Path,
    make_error,
    make_warning,
)
from toucanhall.platform.configuration_fields import SAMPLE
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
)

__all__ = ('find_field_errors',)

_INVALID: Final = 'invalid-field'
_MISSING: Final = 'missing-field'
_UNKNOWN: Final = 'unknown-field'
# Puts a value in its place in the sample.
_Place: TypeAlias = Callable[[Any], Mapping[str, Any]]


def find_field_errors(document: Mapping[str, Any]) -> tuple[Finding, ...]:
    """Return the fields that VMs reject, lack or don't know."""
    found = tuple(_find_errors(document, SAMPLE, dict, ()))
    error = _judge(document)
    if error is None or any(finding.reason != _UNKNOWN for finding in found):
        return found
    return (*found, make_error(_INVALID, (), _explain(error)))


def _find_errors(
    value: Any, sample: Any, place: _Place, path: Path
) -> Iterator[Finding]:
    if isinstance(sample, dict) and isinstance(value, dict):
        return _find_in_object(value, sample, place, path)
    if isinstance(sample, list) and isinstance(value, list):
        return _find_in_list(value, sample, place, path)
    return _find_in_value(value, sample, place, path)


def _find_in_value(
    value: Any, sample: Any, place: _Place, path: Path
) -> Iterator[Finding]:
    error = _judge(place(value))
    if error is not None:
        text, shown = _explain(error), repr(value)
        # Messages of Python's own conversions don't quote what they got.
        text = text if shown in text else f'{shown}: {text}'
        yield make_error(_INVALID, path, text)
    elif isinstance(sample, list) and isinstance(value, str) and value:
        # Decoding takes the characters of a string for entries of a list. The
        # string may be a key, so the text does not show it.
        yield make_error(_INVALID, path, 'a string is not a list')


def _find_in_list(
    value: Iterable[Any], sample: list[Any], place: _Place, path: Path
) -> Iterator[Finding]:
    for position, entry in enumerate(value):
        yield from _find_errors(
            entry, sample[0], _place_entry(place), (*path, position)
        )


def _find_in_object(
    value: Mapping[str, Any],
    sample: Mapping[str, Any],
    place: _Place,
    path: Path,
) -> Iterator[Finding]:
    accepted = {}
    for name, content in value.items():
        if name not in sample:
            yield make_warning(
                _UNKNOWN, (*path, name), _explain_unknown(name, sample)
            )
            continue
        errors = tuple(
            _find_errors(
                content,
                sample[name],
                _place_field(place, sample, name),
                (*path, name),
            )
        )
        yield from errors
        is_wrong = any(finding.reason != _UNKNOWN for finding in errors)
        accepted[name] = sample[name] if is_wrong else content
    yield from _find_in_whole(accepted, sample, place, path)


def _find_in_whole(
    value: dict[str, Any],
    sample: Mapping[str, Any],
    place: _Place,
    path: Path,
) -> Iterator[Finding]:
    """Find fields that are missing, or wrong only beside the others."""
    error = _judge(place(value))
    while error is not None:
        name = _find_cause(value, sample, place, error)
        if name is None:
            yield make_error(_INVALID, path, _explain(error))
            return
        if name in value:
            yield make_error(_INVALID, (*path, name), _explain(error))
        else:
            yield make_error(_MISSING, (*path, name), 'is missing')
        value = {**value, name: sample[name]}
        error = _judge(place(value))


def _find_cause(
    value: Mapping[str, Any],
    sample: Mapping[str, Any],
    place: _Place,
    error: Exception,
) -> str | None:
    """Return the field that changes the error if the sample's replaces it."""
    for name in sample:
        is_sample = name in value and value[name] == sample[name]
        judged = _judge(place({**value, name: sample[name]}))
        if not is_sample and repr(judged) != repr(error):
            return name
    return None


def _place_entry(place: _Place) -> _Place:
    return lambda entry: place([entry])


def _place_field(place: _Place, sample: Mapping[str, Any], name: str) -> _Place:
    return lambda content: place({**sample, name: content})


def _judge(document: Mapping[str, Any]) -> Exception | None:
    """Return why VMs reject a configuration, None if they don't."""
    try:
        decode_configuration(document)
    except InvalidDocumentError as error:
        cause = error.__cause__
        return cause if isinstance(cause, Exception) else error
    return None


def _explain(error: Exception) -> str:
    if isinstance(error, KeyError):
        return f'no field {error}'
    return str(error)


def _explain_unknown(name: str, sample: Mapping[str, Any]) -> str:
    close = difflib.get_close_matches(name, sample, n=1)
    hint = f'; {close[0]!r} is' if close else ''
    return f'no field that VMs know{hint}'
