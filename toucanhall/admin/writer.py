"""Checks an operator's new document, notes who made it, and writes it."""

import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec
from returns.result import Success

from toucanhall import catalogue, documents, runtime
from toucanhall.admin.answers import STORE_DOWN, Reply, explain
from toucanhall.admin.audit import Audit, AuditEntry, add_entry, list_entries
from toucanhall.admin.calls import (
    CHANGE_HEADER,
    Base,
    Call,
    read_base,
    read_expected,
)
from toucanhall.admin.rights import find_violations
from toucanhall.catalogue import Holder
from toucanhall.catalogue.differences import Difference, compare, describe
from toucanhall.forwarding.records import Request
from toucanhall.settings import Operator

__all__ = ('CONFLICT', 'Writer')

CONFLICT: Final = 412

_CATCH_UP_TRIES: Final = 20
_CATCH_UP_SECONDS: Final = 0.1
_OK: Final = 200
_UNAVAILABLE: Final = 503
_UNCHANGED: Final = 'not changed'
# Any other detail of a 503 leaves the outcome unknown.
_NOT_WRITTEN: Final = (
    STORE_DOWN,
    'nothing was written',
    'this VM has not compared its revision yet',
    'the store came back',
)


class Writer:
    """Writes documents on top of the revision in force."""

    def __init__(
        self,
        *,
        holder: Holder,
        audit: Audit,
        apply: Callable[[Request, Operator], Reply],
    ) -> None:
        """Write whole documents with `apply`, which checks the revision."""
        self._holder = holder
        self._audit = audit
        self._apply = apply

    def submit(
        self,
        call: Call,
        base: Base,
        document: Mapping[str, Any],
        change: str,
    ) -> Reply:
        """Check a new document and the right to make it, then write it."""
        expected = read_expected(call.request)
        for earlier in base.carried:
            if earlier.id == change:
                return _OK, {'accepted': earlier.revision, 'change': change}
        if expected not in {None, base.number}:
            return self._explain_conflict(expected, base.number)
        refused = _check(document, base.document)
        if refused is not None:
            return refused
        differences = compare(base.document, document)
        refused = _judge(call.operator, base, differences)
        if refused is not None:
            return refused
        entry = AuditEntry(
            id=change,
            operator=call.operator.name,
            at=runtime.read_utc(),
            revision=base.number + 1,
            what=tuple(describe(difference) for difference in differences),
        )
        return self._write(call, base, add_entry(document, base.carried, entry))

    def catch_up(self, expected: int) -> None:
        """Wait a little until this VM has the revision that a caller saw."""
        for _ in range(_CATCH_UP_TRIES):
            if expected <= self._read_number():
                return
            time.sleep(_CATCH_UP_SECONDS)

    def _write(
        self,
        call: Call,
        base: Base,
        document: Mapping[str, Any],
    ) -> Reply:
        entries = list_entries(document)
        change = entries[-1].id
        request = call.request._replace(
            headers=(
                ('If-Match', f'"{base.number}"'),
                (CHANGE_HEADER, change),
            ),
            body=msgspec.json.encode(document),
        )
        status, body = self._apply(request, call.operator)
        if status == _OK:
            is_copied = self._audit.copy(entries)
            return status, {**body, 'change': change, 'audited': is_copied}
        if status == CONFLICT:
            return self._tell_conflict(base, body)
        if status == _UNAVAILABLE:
            is_unchanged = str(body.get('detail')).startswith(_NOT_WRITTEN)
            outcome = _UNCHANGED if is_unchanged else 'unknown'
            return status, {**body, 'outcome': outcome, 'change': change}
        return status, body

    def _tell_conflict(self, base: Base, body: Mapping[str, Any]) -> Reply:
        """Tell a lost race from a store that did not take the write."""
        self.catch_up(base.number + 1)
        if self._read_number() <= base.number:
            return _UNAVAILABLE, {**body, 'outcome': _UNCHANGED}
        _, conflict = self._explain_conflict(base.number, base.number)
        return CONFLICT, {**body, **conflict}

    def _explain_conflict(self, expected: int | None, current: int) -> Reply:
        newest = max(current, self._read_number())
        carried = read_base(self._holder.current).carried
        detail = f'revision {expected} was expected, {newest} is in force'
        return CONFLICT, {
            'expected': expected,
            'current': newest,
            'newest_change': carried[-1]._asdict() if carried else None,
            **explain(detail),
        }

    def _read_number(self) -> int:
        held = self._holder.current
        return held.number if held else 0


def _check(
    document: Mapping[str, Any],
    known: Mapping[str, Any],
) -> Reply | None:
    checked = catalogue.read(document, known)
    if isinstance(checked, Success):
        return None
    errors = [documents.render(found) for found in checked.failure()]
    return 400, {'errors': errors, **explain('catalogue is invalid')}


def _judge(
    operator: Operator,
    base: Base,
    differences: tuple[Difference, ...],
) -> Reply | None:
    violations = find_violations(operator, differences)
    if violations:
        detail = f'role {operator.role!r} may not change this'
        return 403, {'violations': violations, **explain(detail)}
    if differences:
        return None
    return _OK, {'accepted': base.number, 'change': '', 'changed': False}
