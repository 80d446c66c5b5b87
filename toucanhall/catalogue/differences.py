"""Differences between two catalogue documents, entry by entry."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

from toucanhall.documents import Document

__all__ = ('Difference', 'compare', 'describe')

Entries: TypeAlias = Iterator[tuple[str, Any]]

_CHANGES_SECTION: Final = 'changes'  # audit entries, not compared


class Difference(NamedTuple):
    """An entry that differs; `before` or `after` is `None` when absent."""

    section: str
    name: str
    before: Any
    after: Any


def compare(before: Document, after: Document) -> tuple[Difference, ...]:
    """Return the differences of two documents by section and name."""
    old = dict(_flatten(before))
    new = dict(_flatten(after))
    return tuple(
        Difference(*place, old.get(place), new.get(place))
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place)
    )


def describe(difference: Difference) -> str:
    """Describe a difference by section, name and verb, without contents."""
    verb = 'changed'
    if difference.before is None:
        verb = 'added'
    elif difference.after is None:
        verb = 'removed'
    return ' '.join(
        part for part in (difference.section, difference.name, verb) if part
    )


def _flatten(document: Document) -> Iterator[tuple[tuple[str, str], Any]]:
    for section, content in document.items():
        if section == _CHANGES_SECTION:
            continue
        list_entries = _ENTRY_LISTERS.get(section, _list_table)
        for name, entry in list_entries(content):
            yield (section, name), entry


def _list_table(content: Any) -> Entries:
    if isinstance(content, Mapping):
        yield from content.items()
    else:
        yield '', content


def _list_routes(content: Any) -> Entries:
    for route in content:
        yield route['path'], route


def _list_links(content: Any) -> Entries:
    for link in content:
        yield '-'.join(sorted(link['regions'])), link


def _list_drains(content: Any) -> Entries:
    for kind, names in content.items():
        for name in names:
            yield f'{kind}/{name}', True


_ENTRY_LISTERS: Final[Mapping[str, Callable[[Any], Entries]]] = {
    'routes': _list_routes,
    'links': _list_links,
    'drains': _list_drains,
}
