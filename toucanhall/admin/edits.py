"""Edits of single catalogue entries; edits of different entries commute."""

from collections.abc import Callable
from typing import Any, TypeAlias

from toucanhall.documents import Document

__all__ = ('Edit', 'make_drain', 'make_grant', 'make_undrain', 'make_withdraw')

Edit: TypeAlias = Callable[[Document], dict[str, Any]]


def make_grant(name: str, key: Document) -> Edit:
    """Return the edit that grants a key, given its team and digest."""

    def edit(document: Document) -> dict[str, Any]:
        return {**document, 'keys': {**document.get('keys', {}), name: key}}

    return edit


def make_withdraw(name: str) -> Edit:
    """Return the edit that withdraws a key."""

    def edit(document: Document) -> dict[str, Any]:
        keys = {**document.get('keys', {})}
        keys.pop(name, None)
        return {**document, 'keys': keys}

    return edit


def make_drain(kind: str, name: str) -> Edit:
    """Return the edit that drains a target, VM or zone."""

    def edit(document: Document) -> dict[str, Any]:
        drained = set(_list_drained(document, kind)) | {name}
        return _with_drained(document, kind, drained)

    return edit


def make_undrain(kind: str, name: str) -> Edit:
    """Return the edit that ends the drain of a target, VM or zone."""

    def edit(document: Document) -> dict[str, Any]:
        drained = set(_list_drained(document, kind)) - {name}
        return _with_drained(document, kind, drained)

    return edit


def _list_drained(document: Document, kind: str) -> list[str]:
    names: list[str] = document.get('drains', {}).get(kind, [])
    return names


def _with_drained(
    document: Document,
    kind: str,
    names: set[str],
) -> dict[str, Any]:
    drains = {**document.get('drains', {}), kind: sorted(names)}
    return {**document, 'drains': drains}
