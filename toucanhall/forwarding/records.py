"""Requests and answers as the request path handles them."""

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

__all__ = ('Answer', 'Headers', 'Request', 'find_header')

Headers: TypeAlias = tuple[tuple[str, str], ...]


class Request(NamedTuple):
    """A caller's request; `target` is the path and query as sent."""

    method: str
    target: str
    path: str
    query: str
    headers: Headers
    body: bytes


class Answer(NamedTuple):
    """An answer; `body` can be read once and is closed afterwards."""

    status: int
    reason: str
    headers: Headers
    body: Iterable[bytes]


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of a header given by lower-case name, or ''."""
    for found, content in headers:
        if found.lower() == name:
            return content
    return ''
