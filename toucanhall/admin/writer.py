"""Checks an operator's document, adds an audit entry and writes it."""

import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec
from returns.result import Success

from toucanhall import catalogue, documents, runtime
from toucanhall.admin.answers import Reply, make_error_body
from toucanhall.admin.audit import Audit, AuditEntry, add_entry, list_entries
from toucanhall.admin.calls import (
    BaseRevision,
    Call,
    get_base_revision,
    get_expected_revision,
)
from toucanhall.admin.rights import find_violations
from toucanhall.catalogue import Holder
from toucanhall.catalogue.differences import Difference, compare, describe
from toucanhall.settings import Operator
from toucanhall.spread import Change
from toucanhall.spread.accepting import (
    ChangeConflict,
    ChangeUnknown,
    Invalid,
    Outcome,
    Unaccepted,
)

__all__ = ('CONFLICT', 'Writer')

CONFLICT: Final = 412

_MAX_REVISION_POLLS: Final = 20
_REVISION_POLL_SECONDS: Final = 0.1
_OK: Final = 200
_INVALID: Final = 400
_UNAVAILABLE: Final = 503
_UNCHANGED: Final = 'not changed'
_UNKNOWN: Final = 'unknown'


class Writer:
    """Writes documents that are based on the revision in force."""

    def __init__(
        self,
        *,
        holder: Holder,
        audit: Audit,
        accept: Callable[[Change], Outcome],
    ) -> None:
        """Write documents by `accept`, which checks the base revision."""
        self._holder = holder
        self._audit = audit
        self._accept = accept

    def submit(
        self,
        call: Call,
        base: BaseRevision,
        document: Mapping[str, Any],
        change: str,
    ) -> Reply:
        """Check a document and the operator's rights, then write it."""
        expected = get_expected_revision(call.request)
        for earlier in base.entries:
            if earlier.id == change:
                return _OK, {'accepted': earlier.revision, 'change': change}
        if expected not in {None, base.number}:
            return self._make_conflict_reply(expected, base.number)
        refused = _check_document(document, base.document)
        if refused is not None:
            return refused
        differences = compare(base.document, document)
        refused = _check_rights(call.operator, base, differences)
        if refused is not None:
            return refused
        entry = AuditEntry(
            id=change,
            operator=call.operator.name,
            at=runtime.read_utc(),
            revision=base.number + 1,
            what=tuple(describe(difference) for difference in differences),
        )
        return self._write(call, base, add_entry(document, base.entries, entry))

    def wait_for_revision(self, expected: int) -> None:
        """Wait briefly until this VM has a revision that the caller saw."""
        for _ in range(_MAX_REVISION_POLLS):
            if expected <= self._read_number():
                return
            time.sleep(_REVISION_POLL_SECONDS)

    def _write(
        self,
        call: Call,
        base: BaseRevision,
        document: Mapping[str, Any],
    ) -> Reply:
        entries = list_entries(document)
        change = entries[-1].id
        accepted = self._accept(
            Change(
                base.number,
                change,
                msgspec.json.encode(document),
                call.operator.name,
            ),
        )
        if isinstance(accepted, Success):
            done = accepted.unwrap()
            is_copied = self._audit.copy(entries)
            return _OK, {
                'accepted': done.number,
                'change': change,
                'audited': is_copied,
            }
        error = accepted.failure()
        if isinstance(error, ChangeConflict):
            return self._reply_conflict(error)
        return _REPLIES[type(error)](error, change)

    def _reply_conflict(self, error: ChangeConflict) -> Reply:
        self.wait_for_revision(error.found)
        return self._make_conflict_reply(error.expected, error.found)

    def _make_conflict_reply(self, expected: int | None, current: int) -> Reply:
        newest = max(current, self._read_number())
        entries = get_base_revision(self._holder.current).entries
        detail = f'revision {expected} was expected, {newest} is in force'
        return CONFLICT, {
            'expected': expected,
            'current': newest,
            'newest_change': entries[-1]._asdict() if entries else None,
            **make_error_body(detail),
        }

    def _read_number(self) -> int:
        held = self._holder.current
        return held.number if held else 0


def _check_document(
    document: Mapping[str, Any],
    known: Mapping[str, Any],
) -> Reply | None:
    checked = catalogue.read(document, known)
    if isinstance(checked, Success):
        return None
    errors = [documents.render(found) for found in checked.failure()]
    return 400, {'errors': errors, **make_error_body('catalogue is invalid')}


def _check_rights(
    operator: Operator,
    base: BaseRevision,
    differences: tuple[Difference, ...],
) -> Reply | None:
    violations = find_violations(operator, differences)
    if violations:
        detail = f'role {operator.role!r} may not change this'
        return 403, {'violations': violations, **make_error_body(detail)}
    if differences:
        return None
    return _OK, {'accepted': base.number, 'change': '', 'changed': False}


def _reply_invalid(error: Invalid, _change: str) -> Reply:
    errors = [documents.render(found) for found in error.findings]
    return _INVALID, {
        'errors': errors,
        **make_error_body('catalogue is invalid'),
    }


def _reply_unaccepted(error: Unaccepted, change: str) -> Reply:
    return _UNAVAILABLE, {
        'outcome': _UNCHANGED,
        'change': change,
        **make_error_body(error.what),
    }


def _reply_unknown(error: ChangeUnknown, change: str) -> Reply:
    detail = f'change {error.change} may have been accepted'
    return _UNAVAILABLE, {
        'outcome': _UNKNOWN,
        'change': change,
        **make_error_body(detail),
    }


_REPLIES: Final[Mapping[type, Callable[[Any, str], Reply]]] = {
    Invalid: _reply_invalid,
    Unaccepted: _reply_unaccepted,
    ChangeUnknown: _reply_unknown,
}
