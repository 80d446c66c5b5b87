"""Records what served requests tell about the speed of their targets.

It is called with each answer, next to the state of the VM that the answer does
not hold: the order of targets for the object, and the lag of the event loop.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Final

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.attempts import Attempts, make_query
from toucanhall.edge.outcomes import Success
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.choice import Candidate
from toucanhall.placement.learned_capacity import Evidence
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.response_times import UsualTime, UsualTimes
from toucanhall.web.lag import LoopLag

__all__ = ('CapacityRecorder',)

_NO_TIME: Final = UsualTime(0.0, 0.0)


class CapacityRecorder:
    """Makes evidence of answers; logs changes of the estimates."""

    def __init__(
        self, *, registry: TargetRegistry, journal: Journal, lag: LoopLag
    ) -> None:
        """Record evidence in the loads of `registry`."""
        self._registry = registry
        self._journal = journal
        self._lag = lag
        self._usual_times = UsualTimes()
        self._loop = asyncio.get_running_loop()

    def record(
        self,
        admitted: AdmittedRequest,
        attempts: Attempts,
        candidate: Candidate,
        success: Success,
    ) -> None:
        """Record the answer of a target, whose load report has been read."""
        now = self._loop.time()
        target, load = candidate
        route = admitted.route.name
        usual = self._usual_times.get(route) or _NO_TIME
        evidence = Evidence(
            at=now,
            seconds=success.seconds,
            usual_seconds=usual.median,
            mean_seconds=usual.mean,
            requests=_count_requests(load, success, now),
            machine_percent=load.machine_percent,
            is_first_target=self._is_first(admitted, attempts, candidate, now),
            is_target_cold=self._registry.is_cold(target.id, now),
            lag_seconds=self._lag.seconds,
        )
        load.record_evidence(evidence)
        if evidence.is_first_target and evidence.requests <= load.slots:
            self._usual_times.record(route, success.seconds)
        self._log_change(candidate, now)

    def list_gauges(self) -> Mapping[str, Callable[[], float]]:
        """Return what reads the gauges, by name."""
        return {
            'targets_slow': lambda: sum(
                load.capacity.compute_lasting_slowdown(now) > 1
                for now, load in self._list_loads()
            ),
            'targets_below_slots': lambda: sum(
                load.capacity.count_well_served(now) < load.slots
                for now, load in self._list_loads()
            ),
            'slowest_target_slowdown': lambda: self._find_slowest()[0],
            'slowest_target_age_seconds': lambda: self._find_slowest()[1],
        }

    def _list_loads(self) -> list[tuple[float, TargetLoad]]:
        now = self._loop.time()
        return [(now, load) for load in self._registry.loads.values()]

    def _find_slowest(self) -> tuple[float, float]:
        """Return the largest slowdown and its age; 1 and 0 if none is slow."""
        estimates = [
            (
                load.capacity.compute_lasting_slowdown(now),
                load.capacity.compute_age(now),
            )
            for now, load in self._list_loads()
        ]
        slowdown, age = max(estimates, default=(1.0, math.inf))
        return (slowdown, age) if slowdown > 1 else (1.0, 0.0)

    def _is_first(
        self,
        admitted: AdmittedRequest,
        attempts: Attempts,
        candidate: Candidate,
        now: float,
    ) -> bool:
        query = make_query(admitted, attempts)._replace(tried=frozenset())
        found = self._registry.list_candidates(query, now, 1)
        return bool(found) and found[0].target.id == candidate.target.id

    def _log_change(self, candidate: Candidate, now: float) -> None:
        change = candidate.load.capacity.take_change(now)
        if change is None:
            return
        before, after = change
        self._journal.write(
            events.CAPACITY_LEARNED,
            target=candidate.target.id,
            slowdown=round(after.slowdown, 2),
            slowdown_before=round(before.slowdown, 2),
            well_served=round(after.well_served, 1),
            well_served_before=round(before.well_served, 1),
        )


def _count_requests(load: TargetLoad, success: Success, now: float) -> float:
    """Return the requests at the target during a request, with itself.

    The larger of what was known when it was sent and what the answer reports:
    reports are old when a VM sends a target a request every other second.
    """
    sent = success.load_ratio * load.slots
    return max(sent, load.estimate_requests(now)) + 1
