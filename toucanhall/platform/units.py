"""Durations and versions in the platform's text forms."""

import re
from typing import Final

__all__ = ('read_seconds', 'read_version', 'format_seconds')

_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_SECONDS: Final = {'ms': 0.001, 's': 1.0}
_HEXADECIMAL: Final = 16


def read_seconds(text: object) -> float:
    """Read a duration like `1500ms` or `2.5s`, in seconds."""
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f'{text!r} is not a duration such as 1500ms or 2.5s')
    return float(found[1]) * _SECONDS[found[2]]


def format_seconds(seconds: float) -> str:
    """Write a duration in whole milliseconds."""
    return f'{round(seconds * 1000)}ms'


def read_version(text: object) -> int:
    """Read the version of a configuration, hexadecimal digits."""
    if not isinstance(text, str):
        raise TypeError(f'{text!r} is not a version')
    return int(text, _HEXADECIMAL)
