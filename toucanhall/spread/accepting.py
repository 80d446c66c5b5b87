"""Writes an operator's change to the store and resolves lost replies."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from returns.result import Failure, Result, Success

from toucanhall import events
from toucanhall.catalogue import Holder, Revision
from toucanhall.catalogue.reading import revise_after
from toucanhall.documents import Finding
from toucanhall.objectstore import Ambiguous, Client, Conflict
from toucanhall.objectstore.errors import PlatformError
from toucanhall.spread.acceptance import (
    Attempt,
    BaseVerdict,
    Event,
    Known,
    ReadFailed,
    ReadSucceeded,
    Step,
    WriteFailed,
    WriteSucceeded,
    WriteUncertain,
    check_base,
    decide_step,
)
from toucanhall.spread.patches import canonicalise
from toucanhall.spread.record import CATALOGUE_NAME, Record, encode, parse

__all__ = (
    'Accepted',
    'Accepting',
    'Change',
    'ChangeConflict',
    'ChangeError',
    'ChangeUnknown',
    'Invalid',
    'Unaccepted',
)


class Change(NamedTuple):
    """A document that is to replace revision `expected`."""

    expected: int
    change: str
    document: bytes
    operator: str


class Accepted(NamedTuple):
    """The store holds the change under this revision number."""

    number: int
    change: str


class ChangeConflict(NamedTuple):
    """Another change was written first; `found` is its revision."""

    expected: int
    found: int
    found_change: str


class Invalid(NamedTuple):
    """The document is not a valid catalogue."""

    findings: tuple[Finding, ...]


class Unaccepted(NamedTuple):
    """Nothing was written, and no write can take effect later."""

    what: str


class ChangeUnknown(NamedTuple):
    """The change may have been accepted: query it by its change id."""

    change: str


ChangeError: TypeAlias = ChangeConflict | Invalid | Unaccepted | ChangeUnknown
Outcome: TypeAlias = Result[Accepted, ChangeError]


class Accepting:
    """Accepts operators' changes once the store has confirmed them."""

    def __init__(
        self,
        *,
        platform: Client,
        holder: Holder,
        read_known: Callable[[], Known],
        wait_settled: Callable[[], bool],
    ) -> None:
        """Refuse changes until `wait_settled` returns true.

        Before that, this VM may not know the newest revision of the fleet.
        """
        self._platform = platform
        self._holder = holder
        self._read_known = read_known
        self._wait_settled = wait_settled

    def accept(self, change: Change) -> Outcome:
        """Write a change; return what is known for sure of its outcome."""
        if not self._wait_settled():
            return _refuse('this VM has not compared its revision yet')
        read = self._read()
        if not isinstance(read, Success):
            return _refuse(f'nothing was written: {read.failure()}')
        found: ReadSucceeded = read.unwrap()
        verdict = check_base(
            change.expected,
            change.change,
            self._read_known(),
            found.record,
        )
        if verdict is BaseVerdict.DONE:
            return Success(Accepted(found.record.number, change.change))
        if verdict is BaseVerdict.CONFLICT:
            return _conflict(change, found.record)
        if verdict is BaseVerdict.STORE_BEHIND:
            return _refuse(
                f'the store came back at revision {found.record.number} and '
                'is being repaired; nothing was written',
            )
        return self._write(change, found)

    def _write(self, change: Change, found: ReadSucceeded) -> Outcome:
        number = found.record.number + 1
        document = canonicalise(change.document)
        held = self._holder.current
        revised = revise_after(held, number, change.change, document)
        if not isinstance(revised, Success):
            return Failure(Invalid(revised.failure()))
        revision = revised.unwrap()
        content = encode(
            number,
            change.change,
            document,
            found.record,
        )
        attempt = Attempt(change.change, found.record.change, found.version)
        step, latest = self._run_steps(attempt, content)
        return self._make_outcome(step, change, revision, latest)

    def _run_steps(
        self,
        attempt: Attempt,
        content: bytes,
    ) -> tuple[Step, Record]:
        step = Step.WRITE
        latest = Record()
        while step in {Step.WRITE, Step.READ}:
            event = (
                self._try_write(attempt, content)
                if step is Step.WRITE
                else self._try_read()
            )
            if isinstance(event, ReadSucceeded):
                latest = event.record
            attempt, step = decide_step(attempt, event)
        return step, latest

    def _make_outcome(
        self,
        step: Step,
        change: Change,
        revision: Revision,
        latest: Record,
    ) -> Outcome:
        if step is Step.ACCEPTED:
            self._holder.offer(revision)
            events.log(
                events.CHANGE_ACCEPTED,
                operator=change.operator,
                revision=revision.number,
                change=change.change,
            )
            return Success(Accepted(revision.number, change.change))
        if step is Step.UNKNOWN:
            events.log(events.CHANGE_OUTCOME_UNKNOWN, change=change.change)
            return Failure(ChangeUnknown(change.change))
        if step is Step.REFUSED:
            return _refuse('nothing was written: the store cannot be reached')
        if not latest.number:
            read = self._read()
            latest = read.unwrap().record if _is_success(read) else latest
        return _conflict(change, latest)

    def _read(self) -> Result[ReadSucceeded, object]:
        read = self._platform.read(CATALOGUE_NAME)
        if not isinstance(read, Success):
            return Failure(read.failure())
        stored = read.unwrap()
        return parse(stored.content).map(
            lambda record: ReadSucceeded(stored.version, record),
        )

    def _try_read(self) -> Event:
        read = self._read()
        return read.unwrap() if _is_success(read) else ReadFailed()

    def _try_write(self, attempt: Attempt, content: bytes) -> Event:
        written = self._platform.write(
            CATALOGUE_NAME,
            content,
            attempt.version,
        )
        if isinstance(written, Success):
            return WriteSucceeded()
        return _classify_failure(written.failure())


def _is_success(read: Result[ReadSucceeded, object]) -> bool:
    return isinstance(read, Success)


def _classify_failure(error: PlatformError) -> Event:
    if isinstance(error, Ambiguous):
        return WriteUncertain()
    return WriteFailed(isinstance(error, Conflict))


def _refuse(what: str) -> Outcome:
    return Failure(Unaccepted(what))


def _conflict(change: Change, found: Record) -> Outcome:
    return Failure(
        ChangeConflict(change.expected, found.number, found.change),
    )
