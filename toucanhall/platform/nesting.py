"""Bounds how deeply the values of a JSON document are nested."""

import re
from typing import Final

__all__ = ('cut_nested_values',)

# Deeper than any object of the store: a page, an event, an object, its content.
_MAX_DEPTH: Final = 64
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_DEPTH_CHANGES: Final = {b'[': 1, b'{': 1, b']': -1, b'}': -1}


def cut_nested_values(document: bytes, max_depth: int = _MAX_DEPTH) -> bytes:
    """Replace each list or object beyond a depth by null.

    A decoder gives up on the whole document where one value is nested too
    deeply. Malformed documents stay malformed.
    """
    kept: list[bytes] = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(document):
        change = _DEPTH_CHANGES.get(token[0], 0)
        if change > 0 and depth == max_depth:
            kept.extend((document[kept_until : token.start()], b'null'))
        if change < 0 and depth == max_depth + 1:
            kept_until = token.end()
        depth += change
    if depth <= max_depth:
        kept.append(document[kept_until:])
    return b''.join(kept)
