"""Reads single values of documents; raises ValueError or TypeError."""

import math
from typing import Any, Final

from toucanhall.fleet.addresses import is_ip
from toucanhall.fleet.model import Address
from toucanhall.platform.settings_file import read_address
from toucanhall.platform.units import read_seconds

__all__ = (
    'MAX_INTEGER',
    'read_finite_number',
    'read_integer',
    'read_ip',
    'read_ip_address',
    'read_names',
    'read_non_empty_string',
    'read_optional_seconds',
    'read_string',
)

_MAX_PORT: Final = 65535
MAX_INTEGER: Final = (1 << 53) - 1  # exact in all JSON decoders


def read_optional_seconds(text: object) -> float | None:
    """Read a duration that may be missing; None without one."""
    return read_seconds(text) if text else None


def read_non_empty_string(value: object) -> str:
    """Read a string that may not be empty."""
    if not value:
        raise ValueError(f'{value!r} is not a non-empty string')
    return read_string(value)


def read_string(value: object) -> str:
    """Read a string that may be empty, such as the prefix of all paths."""
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    return value


def read_names(value: object) -> frozenset[str]:
    """Read a list of names that may be missing."""
    if value is not None and not isinstance(value, list | tuple):
        raise TypeError(f'{value!r} is not a list of strings')
    return frozenset(map(read_non_empty_string, value or ()))


def read_ip_address(value: Any) -> Address:
    """Read an IP address with a port."""
    address = read_address(value)
    if not is_ip(address.host) or not 0 < address.port <= _MAX_PORT:
        raise ValueError(
            f'{value!r} is not an IP address with a port of 1 to 65535'
        )
    return address


def read_ip(value: object) -> str:
    """Read an IP address."""
    text = read_non_empty_string(value)
    if not is_ip(text):
        raise ValueError(f'{text!r} is not an IP address')
    return text


def read_finite_number(value: Any) -> float:
    """Read a finite number of at least 0."""
    amount = float(value)
    if not 0 <= amount < math.inf:
        raise ValueError(f'{value!r} is not a finite number of at least 0')
    return amount


def read_integer(value: object, *, minimum: int) -> int:
    """Read an integer from a minimum up to the largest exact one."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is not an integer')
    if not minimum <= value <= MAX_INTEGER:
        raise ValueError(f'not from {minimum} to {MAX_INTEGER}')
    return value
