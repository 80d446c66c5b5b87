"""Holds back requests that crash targets, together with all other VMs.

Evidence is a connection that a target closed before its answer, if nothing
listens there any more. What one VM observes reaches the others by the store.
"""

import asyncio
from typing import Final

from toucanhall.edge.crash_inspector import CrashInspector
from toucanhall.edge.suspect_writer import SuspectWriter
from toucanhall.edge.target_probe import TargetProbe
from toucanhall.fleet.model import Target
from toucanhall.fleet.suspects import Crash, Suspect, SuspectTable
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.registry import TargetRegistry
from toucanhall.platform.suspect_registry import SuspectRegistry
from toucanhall.quarantine.served_requests import ServedRequests
from toucanhall.quarantine.verdicts import (
    MIN_CRASHES_COUNT,
    Verdict,
    count_crashes,
    judge,
)

__all__ = ('Quarantine',)

_FREE: Final = Verdict()


class Quarantine:
    """What this VM knows of requests that were in flight at crashes."""

    def __init__(
        self,
        *,
        table: SuspectTable,
        targets: TargetRegistry,
        registry: SuspectRegistry,
        probe: TargetProbe,
        journal: Journal,
    ) -> None:
        """Keep suspects in `table`; share them by `registry`."""
        self._table = table
        self._targets = targets
        self._registry = registry
        self._probe = probe
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._served = ServedRequests()
        self._writer = SuspectWriter(
            table=table, registry=registry, journal=journal
        )
        self._inspector = CrashInspector(
            probe=probe, on_crash=self._suspect, journal=journal
        )

    def count_held_back(self) -> int:
        """Return how many requests are held back at this time."""
        return sum(
            count_crashes(name, self._table.suspects) >= MIN_CRASHES_COUNT
            for name in self._table.suspects
        )

    def judge(self, fingerprint: str, service: str) -> Verdict:
        """Return where a request may run."""
        suspect = self._table.suspects.get(fingerprint)
        if suspect is None:
            return _FREE
        return judge(
            suspect,
            count_crashes(fingerprint, self._table.suspects),
            self._targets.list_releases(service),
            self._table.compute_age(fingerprint, self._loop.time()),
        )

    async def acquire_trial(self, fingerprint: str, verdict: Verdict) -> bool:
        """Return whether this VM, and no other, may send a request now."""
        suspect = self._table.suspects.get(fingerprint)
        if suspect is None or not suspect.revision:
            return False
        tried = (*suspect.tried_releases, *(verdict.releases or ()))
        after = suspect._replace(
            trial_count=suspect.trial_count + 1,
            tried_releases=tuple(dict.fromkeys(tried)),
        )
        is_acquired = await self._writer.try_replace(fingerprint, after)
        if is_acquired:
            self._journal.write(
                events.TRIAL_STARTED,
                fingerprint=fingerprint,
                trials=after.trial_count,
                releases=sorted(verdict.releases or ()),
            )
        return is_acquired

    def record_lost(self, fingerprint: str, target: Target) -> None:
        """Record a request whose connection the target closed."""
        if not self._targets.is_leaving(target):
            self._inspector.inspect(fingerprint, target)

    def record_served(self, fingerprint: str, target: Target) -> None:
        """Record that a target served a request."""
        self._served.record(fingerprint, target.release, self._loop.time())
        suspect = self._table.suspects.get(fingerprint)
        if suspect is not None:
            self._clear(fingerprint, suspect, target.release)

    def apply_table_change(self) -> None:
        """Clear what this VM has served lately; save what the store lost."""
        now = self._loop.time()
        for name, suspect in tuple(self._table.suspects.items()):
            releases = {crash.release for crash in suspect.crashes}
            for release in releases:
                if self._served.has_served(name, release, now):
                    self._clear(name, suspect, release)
        for name in self._table.unsaved:
            self._writer.save(name)

    def drop_expired(self, *, is_watching: bool) -> None:
        """Drop old suspects; the VM that watches deletes their entries."""
        for name in self._table.drop_expired(self._loop.time()):
            if is_watching:
                self._writer.remove(name)

    def _suspect(self, fingerprint: str, crash: Crash) -> None:
        now = self._loop.time()
        if self._served.has_served(fingerprint, crash.release, now):
            return
        suspect = self._table.suspects.get(fingerprint, Suspect())
        if crash in suspect.crashes:
            return
        suspect = suspect._replace(
            crashes=(*suspect.crashes, crash),
            served_releases=tuple(
                release
                for release in suspect.served_releases
                if release != crash.release
            ),
        )
        self._table.update(fingerprint, suspect, now)
        self._journal.write(
            events.REQUEST_SUSPECTED,
            fingerprint=fingerprint,
            target=crash.target,
            crashes=len(suspect.crashes),
        )
        self._writer.save(fingerprint)

    def _clear(self, name: str, suspect: Suspect, release: str) -> None:
        """Record that targets of a release have served a suspect."""
        if release in suspect.served_releases:
            return
        if any(crash.release == release for crash in suspect.crashes):
            if self._table.clear(name) or self._writer.is_saving(name):
                self._writer.remove(name)
        else:
            served = (*suspect.served_releases, release)
            self._table.update(
                name,
                suspect._replace(served_releases=served),
                self._loop.time(),
            )
            self._writer.save(name)
        self._journal.write(
            events.REQUEST_CLEARED, fingerprint=name, release=release
        )
