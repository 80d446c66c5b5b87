"""Finds the lines of the fields of a document of JSON with comments."""

import re
from collections.abc import Iterator, Mapping
from typing import Final

import json5

from toucanhall.configuration_check.findings import Path

__all__ = ('find_line', 'find_repeated_name', 'index_lines')

_TOKEN: Final = re.compile(
    r'//[^\n]*|/\*.*?\*/'
    r'|"(?:[^"\\]|\\.)*"'
    r"|'(?:[^'\\]|\\.)*'"
    r'|[\[\]{}:,]'
    r'|[^\s\[\]{}:,"\'/]+',
    re.DOTALL,
)
_PUNCTUATION: Final = frozenset('}],:')
_COMMENT_STARTS: Final = ('//', '/*')
_QUOTES: Final = ('"', "'")


class _Frame:
    """A list or an object being read: its path, and the step within it."""

    def __init__(self, path: Path, *, is_list: bool) -> None:
        self.path = path
        self.is_list = is_list
        self.step: str | int | None = 0 if is_list else None

    @property
    def value_path(self) -> Path:
        return self.path if self.step is None else (*self.path, self.step)

    def advance(self) -> None:
        self.step = self.step + 1 if isinstance(self.step, int) else None


def index_lines(text: str) -> Mapping[Path, int]:
    """Return the line of each field and entry; `text` must be well-formed."""
    lines: dict[Path, int] = {}
    for path, line in _list_places(text):
        lines.setdefault(path, line)
    return lines


def find_repeated_name(text: str) -> tuple[int, Path]:
    """Return the first name that stands twice in one object."""
    seen: set[Path] = set()
    for path, line in _list_places(text, names_only=True):
        if path in seen:
            return line, path
        seen.add(path)
    return 1, ()


def find_line(lines: Mapping[Path, int], path: Path) -> int:
    """Return the line of a field, or of what it is missing from."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _list_places(
    text: str, *, names_only: bool = False
) -> Iterator[tuple[Path, int]]:
    """List the path and line of each name and, if wanted, each value."""
    frames: list[_Frame] = []
    for token, line in _list_tokens(text):
        if token in _PUNCTUATION:
            _leave(token, frames)
            continue
        path, is_name = _enter(token, frames)
        if is_name or not names_only:
            yield path, line


def _leave(token: str, frames: list[_Frame]) -> None:
    """Step past a name, a value, a list or an object."""
    if token in {'}', ']'}:
        frames.pop()
    elif token == ',':
        frames[-1].advance()


def _list_tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    read_until = 0
    for found in _TOKEN.finditer(text):
        line += text.count('\n', read_until, found.start())
        read_until = found.start()
        if not found[0].startswith(_COMMENT_STARTS):
            yield found[0], line


def _enter(token: str, frames: list[_Frame]) -> tuple[Path, bool]:
    """Return the path of a name or a value, and whether it is a name."""
    frame = frames[-1] if frames else None
    is_name = frame is not None and frame.step is None
    if frame and is_name:
        frame.step = _read_name(token)
    path = frame.value_path if frame else ()
    if not is_name and token in {'{', '['}:
        frames.append(_Frame(path, is_list=token == '['))
    return path, is_name


def _read_name(token: str) -> str:
    return str(json5.loads(token)) if token[0] in _QUOTES else token
