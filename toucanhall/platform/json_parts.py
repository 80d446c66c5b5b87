"""Splits JSON lists and objects into their parts without decoding these.

A decoder gives up on a whole document for one string that is no text.

Load pattern: an entry of another writer with such a string stays among
thousands of targets, and every VM that watches meets it in each page that it
reads and in each change of that entry.
"""

import re
from collections.abc import Iterator, Mapping
from typing import Final

import msgspec

__all__ = ('split_list', 'split_object')

_STRING: Final = rb'"(?:[^"\\]++|\\.)*+"'
_FLAT: Final = rb'[^"\[\]{}]++|%s' % _STRING
# Most values are nested this deeply at most: they are passed over at once.
_SHALLOW: Final = rb'[\[{](?:%s|[\[{](?:%s)*+[\]}])*+[\]}]' % (_FLAT, _FLAT)
# In the outermost value up to the next bracket or comma, within it up to the
# next brackets that open values nested more deeply, or that close some.
_OUTER_TOKEN: Final = re.compile(
    rb'(?:[^"\[\]{},]++|%s|%s)*+([\[\]{},])' % (_STRING, _SHALLOW), re.DOTALL
)
_INNER_TOKEN: Final = re.compile(
    rb'(?:%s|%s)*+([\[{]++|[\]}]++)' % (_FLAT, _SHALLOW), re.DOTALL
)
_MEMBER: Final = re.compile(rb'(%s)\s*:\s*(.+)' % _STRING, re.DOTALL)
_COMMA: Final = b','
_DEPTH_CHANGES: Final = {b'[': 1, b'{': 1, b']': -1, b'}': -1, _COMMA: 0}


def split_list(document: bytes) -> Iterator[bytes]:
    """Yield the items of a list; raise ValueError for another value."""
    return _split(document, b'[')


def split_object(document: bytes) -> Mapping[str, bytes]:
    """Return the members of an object by their names.

    Members whose names are no text are left out. Raises ValueError if the
    document is another value.
    """
    members = {}
    for member in map(_MEMBER.fullmatch, _split(document, b'{')):
        name = member and _decode_name(member[1])
        if member and name is not None:
            members[name] = member[2]
    return members


def _decode_name(document: bytes) -> str | None:
    try:
        return msgspec.json.decode(document, type=str)
    except (msgspec.MsgspecError, ValueError):
        return None


def _split(document: bytes, opening: bytes) -> Iterator[bytes]:
    content = document.strip()
    if not content.startswith(opening):
        raise ValueError(f'no value that begins with {opening.decode()}')
    start = 1
    for end in _find_ends(content):
        part = content[start:end].strip()
        start = end + 1
        if part:
            yield part


def _find_ends(content: bytes) -> Iterator[int]:
    """Yield where each part ends; raise ValueError if there is no last one."""
    depth = 1
    position = 1
    while depth:
        token = _find_token(content, position, depth)
        position = token.end()
        depth += _DEPTH_CHANGES[token[1][:1]] * len(token[1])
        if depth < 1 and len(token[1]) > 1:
            # One at a time, as the last ones end the outermost value.
            position += depth - 1
            depth = 1
        if token[1] == _COMMA or not depth:
            yield position - 1
    if position != len(content):
        raise ValueError('text behind the brackets')


def _find_token(content: bytes, position: int, depth: int) -> re.Match[bytes]:
    pattern = _OUTER_TOKEN if depth == 1 else _INNER_TOKEN
    token = pattern.match(content, position)
    if token is None:
        raise ValueError('brackets do not match')
    return token
