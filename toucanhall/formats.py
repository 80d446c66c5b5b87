"""Formats of string fields: names, digests, addresses, paths and URLs."""

import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from jsonschema import FormatChecker

__all__ = ('CHECKER', 'FORMATS', 'Format')

_MAX_PORT: Final = 65535
_URL_PREFIX: Final = 'http://'


class Format(NamedTuple):
    """A format: its check, and the text that describes it in errors."""

    is_valid: Callable[[str], bool]
    allowed: str


def _make_pattern(pattern: str) -> Callable[[str], bool]:
    compiled = re.compile(pattern)
    return lambda text: compiled.fullmatch(text) is not None


def _is_ipv4(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_endpoint(text: str) -> bool:
    address, colon, port = text.rpartition(':')
    if not (colon and port.isascii() and port.isdecimal()):
        return False
    return _is_ipv4(address) and 0 < int(port[:6]) <= _MAX_PORT


def _is_base_url(text: str) -> bool:
    is_http = text.startswith(_URL_PREFIX)
    return is_http and _is_endpoint(text.removeprefix(_URL_PREFIX))


FORMATS: Final[Mapping[str, Format]] = {
    'name': Format(
        _make_pattern('[a-z0-9][a-z0-9-]{0,62}'),
        'a name of a-z, 0-9 and -, at most 63 characters',
    ),
    'digest': Format(
        _make_pattern('[0-9a-f]{64}'),
        'a SHA-256 digest of 64 hexadecimal digits',
    ),
    'path': Format(
        _make_pattern('/[!-~]{0,255}'),
        'a path that begins with / and has no spaces',
    ),
    'address': Format(_is_ipv4, 'an IPv4 address such as 127.0.0.1'),
    'endpoint': Format(
        _is_endpoint,
        'an IPv4 address and port such as 127.0.0.1:9000',
    ),
    'base': Format(_is_base_url, 'a URL such as http://127.0.0.1:7400'),
}

CHECKER: Final = FormatChecker(formats=())


def _check_text(is_valid: Callable[[str], bool]) -> Callable[[object], bool]:
    return lambda found: not isinstance(found, str) or is_valid(found)


CHECKER.checkers = {
    name: (_check_text(entry.is_valid), ()) for name, entry in FORMATS.items()
}
