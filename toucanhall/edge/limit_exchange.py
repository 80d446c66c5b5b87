"""Learns the limits of targets from answers and from other VMs; logs them."""

from typing import Final

from toucanhall.fleet.model import Target
from toucanhall.fleet.reports import LimitReports
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.target_limits import TargetLimits
from toucanhall.platform.headers import TargetHeaders

__all__ = ('LimitExchange',)

_MAX_LOGGED_BYTES: Final = 80
_MAX_MALFORMED_COUNT: Final = 100  # targets whose malformed limit is logged


class LimitExchange:
    """What this VM tells other VMs about limits of targets, and hears."""

    def __init__(
        self, *, limits: TargetLimits, zone: str, journal: Journal
    ) -> None:
        """Record limits in `limits`; `zone` is the zone of this VM."""
        self._limits = limits
        self._zone = zone
        self._journal = journal
        self._malformed_targets: set[str] = set()

    def read_clock(self) -> float:
        """Return the time to pass to `record_answer`."""
        return self._limits.observations.clock()

    def record_answer(
        self, target: Target, headers: TargetHeaders, sent_at: float
    ) -> None:
        """Record the limit in an answer to a request sent at a time."""
        if headers.malformed_limit:
            self._log_malformed(target.id, headers.malformed_limit)
        observations = self._limits.observations
        limit = headers.limit_per_second
        is_news = limit is not None or observations.get(target.id) is not None
        if headers.tells_limit and is_news:
            before = observations.get_limit(target.id)
            observations.record_answer(target, limit, sent_at)
            self._apply(target, before, zone='')

    def receive(self, limits: LimitReports) -> None:
        """Record the limits that VMs of a zone observed."""
        observations = self._limits.observations
        is_local = limits.zone == self._zone
        for report in limits.reports:
            target = observations.get_target(report.target)
            if target is not None:
                before = observations.get_limit(target.id)
                observations.receive(report, is_local=is_local)
                self._apply(target, before, zone=limits.zone)

    def report_own(self) -> LimitReports | None:
        """Return what this VM observed lately; None without any."""
        return self._report(is_own=True)

    def report_local(self) -> LimitReports | None:
        """Return what VMs of this zone observed lately; None without any."""
        return self._report(is_own=False)

    def _report(self, *, is_own: bool) -> LimitReports | None:
        reports = self._limits.observations.report(is_own=is_own)
        return LimitReports(self._zone, reports) if reports else None

    def _apply(
        self, target: Target, before: float | None, *, zone: str
    ) -> None:
        """Divide a changed limit anew; `zone` is the one that told of it."""
        limit = self._limits.observations.get_limit(target.id)
        if limit != before:
            share = self._limits.update_share(target)
            self._journal.write(
                events.LIMIT_CHANGED,
                target=target.id,
                limit=limit,
                before=before,
                share=round(share, 3),
                zone=zone,
            )

    def _log_malformed(self, target: str, content: bytes) -> None:
        logged = self._malformed_targets
        if target in logged or len(logged) >= _MAX_MALFORMED_COUNT:
            return
        logged.add(target)
        self._journal.write(
            events.MALFORMED_LIMIT,
            target=target,
            content=content[:_MAX_LOGGED_BYTES].decode('latin-1'),
        )
