"""The history of accepted changes, in the catalogue and in audit pages.

The newest entries are part of the document that they changed, so that an
accepted change always has its entry. After the write they are copied to pages
`audit/<n>` of the store; entries that could not be copied are copied with the
next change.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

import msgspec
from returns.result import Success

from toucanhall import events
from toucanhall.documents import Document
from toucanhall.objectstore import Client, Conflict

__all__ = ('CHANGES_FIELD', 'Audit', 'AuditEntry', 'add_entry', 'list_entries')

_MAX_DOCUMENT_ENTRIES: Final = 8
CHANGES_FIELD: Final = 'changes'
_MAX_ENTRY_DIFFERENCES: Final = 16
_REVISIONS_PER_PAGE: Final = 100
_PAGE_COUNT: Final = 100
_MAX_COPY_ATTEMPTS: Final = 4


class AuditEntry(NamedTuple):
    """An accepted change; `at` is the UTC time by the VM's clock."""

    id: str
    operator: str
    at: str
    revision: int
    what: tuple[str, ...]


def add_entry(
    document: Document,
    earlier: Iterable[AuditEntry],
    entry: AuditEntry,
) -> dict[str, Any]:
    """Return the document with the newest earlier entries and a new one."""
    hidden = len(entry.what) - _MAX_ENTRY_DIFFERENCES
    what = entry.what[:_MAX_ENTRY_DIFFERENCES]
    if hidden > 0:
        what = (*what, f'and {hidden} more')
    entries = (*earlier, entry._replace(what=what))[-_MAX_DOCUMENT_ENTRIES:]
    return {**document, CHANGES_FIELD: [found._asdict() for found in entries]}


def list_entries(document: Document) -> tuple[AuditEntry, ...]:
    """Return the entries in a document, oldest first."""
    return tuple(
        msgspec.convert(
            tuple(found[name] for name in AuditEntry._fields),
            AuditEntry,
        )
        for found in document.get(CHANGES_FIELD, ())
    )


class Audit:
    """Copies entries to audit pages in the store, and reads these."""

    def __init__(self, *, platform: Client) -> None:
        """Copy to and read from a store."""
        self._platform = platform

    def copy(self, entries: tuple[AuditEntry, ...]) -> bool:
        """Copy entries to their pages; return whether all are stored."""
        pages: dict[str, list[AuditEntry]] = {}
        for entry in entries:
            pages.setdefault(_name_page(entry.revision), []).append(entry)
        copied = [self._copy_page(*page) for page in pages.items()]
        if not all(copied):
            events.log(events.AUDIT_DELAYED, newest=entries[-1].revision)
        return all(copied)

    def read(self, revision: int) -> tuple[AuditEntry, ...] | None:
        """Return the entries of a revision's page and of the previous one.

        Returns `None` if the store cannot be reached.
        """
        found: list[AuditEntry] = []
        for number in (max(0, revision - _REVISIONS_PER_PAGE), revision):
            page = self._platform.read(_name_page(number))
            if not isinstance(page, Success):
                return None
            found.extend(_decode(page.unwrap().content))
        return tuple({entry.id: entry for entry in found}.values())

    def _copy_page(self, name: str, entries: list[AuditEntry]) -> bool:
        for _ in range(_MAX_COPY_ATTEMPTS):
            page = self._platform.read(name)
            if not isinstance(page, Success):
                return False
            stored = page.unwrap()
            merged = _merge(_decode(stored.content), entries)
            if merged is None:
                return True
            content = msgspec.json.encode(merged)
            written = self._platform.write(name, content, stored.version)
            if isinstance(written, Success):
                return True
            if not isinstance(written.failure(), Conflict):
                return False
        return False


def _name_page(revision: int) -> str:
    return f'audit/{revision // _REVISIONS_PER_PAGE % _PAGE_COUNT}'


def _decode(content: bytes) -> tuple[AuditEntry, ...]:
    try:
        return msgspec.json.decode(content, type=tuple[AuditEntry, ...])
    except msgspec.MsgspecError:
        return ()


def _merge(
    known: tuple[AuditEntry, ...],
    added: list[AuditEntry],
) -> tuple[AuditEntry, ...] | None:
    """Return the page with the entries added, `None` if it has them all.

    Page names repeat; entries from an earlier use of the name are dropped.
    """
    by_id: Mapping[str, AuditEntry] = {entry.id: entry for entry in known}
    if all(entry.id in by_id for entry in added):
        return None
    entries = {**by_id, **{entry.id: entry for entry in added}}.values()
    cycle = max(entry.revision for entry in entries) // _REVISIONS_PER_PAGE
    return tuple(
        sorted(
            (
                entry
                for entry in entries
                if entry.revision // _REVISIONS_PER_PAGE == cycle
            ),
            key=lambda entry: entry.revision,
        ),
    )
