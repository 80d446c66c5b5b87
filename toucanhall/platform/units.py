"""Durations and versions in the platform's text formats."""

import re
from typing import Final

__all__ = ('format_seconds', 'read_seconds', 'read_version')

_DURATION_PATTERN: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_SECONDS_BY_UNIT: Final = {'ms': 0.001, 's': 1.0}
_VERSION_BASE: Final = 16


def read_seconds(text: object) -> float:
    """Return the seconds of a duration such as `1500ms` or `2.5s`."""
    matched = (
        _DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    )
    if matched is None:
        raise ValueError(f'{text!r} is not a duration such as 1500ms or 2.5s')
    return float(matched[1]) * _SECONDS_BY_UNIT[matched[2]]


def format_seconds(seconds: float) -> str:
    """Return a duration in whole milliseconds, such as `1500ms`."""
    return f'{round(seconds * 1000)}ms'


def read_version(text: object) -> int:
    """Return the version of a configuration from hexadecimal digits."""
    if not isinstance(text, str):
        raise TypeError(f'{text!r} is not a version in hexadecimal digits')
    return int(text, _VERSION_BASE)
