"""What targets said about their limits, from answers and from other VMs.

Load pattern: answers overtake each other, a machine is suspended and repeats
what was true before, a target restarts under its id.
"""

from collections.abc import Callable, Mapping, Set
from typing import Final, NamedTuple

from toucanhall.fleet.model import Target
from toucanhall.fleet.reports import LimitReport

__all__ = ('LimitObservation', 'LimitObservations')

# Observations are repeated for so long: a few heartbeats may be lost.
_REPORTED_SECONDS: Final = 5.0
# Older reports are ignored: the target may have changed its limit since.
_MAX_REPORT_AGE_SECONDS: Final = 30.0
# Time that a report may spend on its way, by which it seems newer than it is.
_REPORT_DELAY_SECONDS: Final = 0.25
_MAX_REPORTS_COUNT: Final = 64  # about 4 KB


class LimitObservation(NamedTuple):
    """What an answer said; when its request was sent and it was received.

    `per_second` is None if the target named no limit. `is_own` if this VM
    received the answer, `is_local` if a VM of the own zone did.
    """

    per_second: float | None
    sent_at: float
    received_at: float
    is_own: bool
    is_local: bool


class LimitObservations:
    """The newest observation of each target that named a limit."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without observations.

        `clock` must count the time during which the machine is suspended,
        since ages are sent to others.
        """
        self._targets: Mapping[str, Target] = {}
        self._newest: dict[str, LimitObservation] = {}
        self.clock = clock

    def replace_targets(
        self, targets: Mapping[str, Target], changed: Set[str]
    ) -> None:
        """Replace the targets; forget those removed or restarted."""
        self._targets = targets
        for name in changed:
            self._newest.pop(name, None)

    def get(self, target: str) -> LimitObservation | None:
        """Return the newest observation of a target."""
        return self._newest.get(target)

    def get_limit(self, target: str) -> float | None:
        """Return the limit of a target, None without one."""
        found = self._newest.get(target)
        return found.per_second if found else None

    def get_target(self, target: str) -> Target | None:
        """Return the target with an id."""
        return self._targets.get(target)

    def list_limited(self) -> list[Target]:
        """Return the targets that name a limit."""
        return [
            self._targets[name]
            for name, found in self._newest.items()
            if found.per_second is not None
        ]

    def record_answer(
        self, target: Target, per_second: float | None, sent_at: float
    ) -> None:
        """Record the limit in an answer; `sent_at` is when it was asked for."""
        if self._is_known_start(target.id, target.started_at):
            observation = LimitObservation(
                per_second, sent_at, self.clock(), is_own=True, is_local=True
            )
            self._record(target.id, observation)

    def receive(self, report: LimitReport, *, is_local: bool) -> None:
        """Record what another VM observed; `is_local` if in the own zone."""
        if report.sent_age <= _MAX_REPORT_AGE_SECONDS and self._is_known_start(
            report.target, report.started_at
        ):
            now = self.clock()
            observation = LimitObservation(
                report.per_second,
                now - report.sent_age - _REPORT_DELAY_SECONDS,
                now - report.received_age,
                is_own=False,
                is_local=is_local,
            )
            self._record(report.target, observation)

    def report(self, *, is_own: bool) -> tuple[LimitReport, ...]:
        """Return what was observed lately, newest first.

        The observations are those of this VM, or those of its whole zone.
        """
        now = self.clock()
        recent = sorted(
            (now - found.received_at, name, found)
            for name, found in self._newest.items()
            if found.is_own or (found.is_local and not is_own)
        )
        return tuple(
            LimitReport(
                target=name,
                started_at=self._targets[name].started_at,
                per_second=found.per_second,
                sent_age=round(max(0.0, now - found.sent_at), 3),
                received_age=round(max(0.0, age), 3),
            )
            for age, name, found in recent[:_MAX_REPORTS_COUNT]
            if age <= _REPORTED_SECONDS
        )

    def _is_known_start(self, target: str, started_at: int) -> bool:
        known = self._targets.get(target)
        return known is not None and known.started_at == started_at

    def _record(self, target: str, observation: LimitObservation) -> None:
        known = self._newest.get(target)
        if known is None:
            if observation.per_second is not None:
                self._newest[target] = observation
        elif _supersedes(observation, known):
            self._newest[target] = observation


def _supersedes(found: LimitObservation, known: LimitObservation) -> bool:
    """Whether an observation is newer than the known one.

    A target answers at an unknown time between both times of an observation.
    A lower limit counts if it may be newer, a higher one only if it surely is.
    """
    if _get_rate(found) > _get_rate(known):
        return found.sent_at > known.received_at
    return found.sent_at >= known.sent_at


def _get_rate(observation: LimitObservation) -> float:
    limit = observation.per_second
    return float('inf') if limit is None else limit
