"""Which requests are refused while targets are full, and until when.

Load patterns: a burst brings up to 2.5 times the requests that targets can run;
kinds of different urgency of one service meet in it.

It applies to services of which a target reports how fast its machine is, and to
all of them if the configuration has routes with large bodies.
"""

import copy
from collections.abc import Sequence
from typing import Final, NamedTuple

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.placement.choice import (
    TARGETS_PER_OBJECT,
    Candidate,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.free_times import FreeTime, FreeTimes, Room
from toucanhall.placement.refused_fractions import RefusedFractions
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.response_times import ResponseTimes
from toucanhall.placement.returning_callers import ReturningCallers

__all__ = ('Caller', 'Judgement', 'LoadShedding', 'make_caller')

# Kinds of requests of which none came for this time have no precedence.
_KIND_SECONDS: Final = 5.0
_MAX_KINDS_COUNT: Final = 500
# For this time, the targets of a service are not looked at anew.
_SERVICE_SECONDS: Final = 0.5


class Caller(NamedTuple):
    """A request as load shedding sees it; times in seconds."""

    route: str
    service: str
    priority: int
    objective_seconds: float
    remaining_seconds: float


class Judgement(NamedTuple):
    """Whether a request may be sent, and whether its caller came back."""

    is_allowed: bool
    is_returned: bool


class _Kind(NamedTuple):
    """The newest request of a route and a priority."""

    objective_seconds: float
    seen_at: float


class _ServiceTargets(NamedTuple):
    """The slots of a service, and if a target reports of its machine."""

    slots: int
    is_reported: bool
    counted_at: float


class LoadShedding:
    """Prefers urgent requests and returning callers; schedules returns."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        response_times: ResponseTimes,
        phase: float,
    ) -> None:
        """Judge by the loads of `registry`; for `phase` see FreeTimes."""
        self._registry = registry
        self._response_times = response_times
        self._free_times = FreeTimes(phase=phase)
        self._returning = ReturningCallers()
        self._fractions = RefusedFractions()
        self._kinds: dict[tuple[str, int, str], _Kind] = {}
        self._services: dict[str, _ServiceTargets] = {}

    def judge(
        self, caller: Caller, query: TargetQuery, now: float
    ) -> Judgement:
        """Return whether a request may be sent to its targets.

        It may not be if a more urgent one finds no room at the same targets, if
        more urgent ones are refused more often, or if it is new and what is
        free is kept for callers that return.
        Whether its targets have room for it is left to `choose_target`.
        """
        candidates = self._list_candidates(caller, query, now)
        if not candidates:
            return Judgement(is_allowed=True, is_returned=False)
        is_returned = self._returning.record(
            caller.route, caller.remaining_seconds
        )
        self._record_kind(caller, now)
        self._fractions.record_arrival(caller.service, caller.priority, now)
        if not self._has_room(candidates, caller, 0.0, now):
            return Judgement(is_allowed=True, is_returned=is_returned)
        is_allowed = self._has_kept_room(
            candidates, caller, now, is_returned=is_returned
        ) and not self._must_yield(candidates, caller, now)
        if is_allowed:
            self._returning.record_taken(
                caller.service, now, is_returned=is_returned
            )
        return Judgement(is_allowed, is_returned)

    def schedule(
        self, caller: Caller, query: TargetQuery, now: float
    ) -> FreeTime | None:
        """Return when a refused caller may come back.

        None if load shedding does not apply to its request.
        """
        candidates = self._list_candidates(caller, query, now)
        if not candidates:
            return None
        self._fractions.record_refusal(caller.service, caller.priority, now)
        return self._free_times.schedule(
            self._measure_room(candidates, caller, now),
            caller.remaining_seconds,
            caller.priority,
            now,
        )

    def _list_candidates(
        self, caller: Caller, query: TargetQuery, now: float
    ) -> list[Candidate]:
        """Return the targets of a request; none if this does not apply."""
        if not (
            self._look_at(caller.service, now).is_reported
            or self._registry.has_large_bodies
        ):
            return []
        return self._registry.list_candidates(query, now, TARGETS_PER_OBJECT)

    def _must_yield(
        self, candidates: Sequence[Candidate], caller: Caller, now: float
    ) -> bool:
        """Whether more urgent requests need the room more."""
        return self._fractions.must_yield(
            caller.service, caller.priority, now
        ) or not all(
            self._has_kept_room(candidates, other, now, is_returned=False)
            for other in self._list_more_urgent(caller, now)
        )

    def _has_kept_room(
        self,
        candidates: Sequence[Candidate],
        caller: Caller,
        now: float,
        *,
        is_returned: bool,
    ) -> bool:
        """Whether there is room beside what is kept for others."""
        kept_fraction = 0.0
        if not is_returned and self._returning.are_preferred(caller.service):
            kept_fraction = self._free_times.compute_kept_fraction(
                self._measure_room(candidates, caller, now),
                caller.priority,
                now,
            )
        return self._has_room(candidates, caller, kept_fraction, now)

    def _has_room(
        self,
        candidates: Sequence[Candidate],
        caller: Caller,
        kept_fraction: float,
        now: float,
    ) -> bool:
        urgency = RequestUrgency(
            seconds_to_objective=caller.objective_seconds,
            expected_seconds=self._get_expected_seconds(caller),
            priority=caller.priority,
            policy=self._registry.policy,
        )
        fuller = [_fill(found, kept_fraction) for found in candidates]
        return choose_target(fuller, urgency, now) is not None

    def _measure_room(
        self, candidates: Sequence[Candidate], caller: Caller, now: float
    ) -> Room:
        # Times measured while targets are overfull hold waits as well.
        expected_seconds = min(
            caller.objective_seconds, self._get_expected_seconds(caller)
        )
        vms = self._registry.limits.count_serving_vms()
        slots = max(1, self._look_at(caller.service, now).slots)
        return Room(
            service=caller.service,
            queue_seconds=min(
                _compute_queue_seconds(found, expected_seconds, now)
                for found in candidates
            ),
            interval_seconds=expected_seconds * vms / slots,
            expected_seconds=expected_seconds,
        )

    def _get_expected_seconds(self, caller: Caller) -> float:
        return self._response_times.get(caller.route, caller.objective_seconds)

    def _look_at(self, service: str, now: float) -> _ServiceTargets:
        """Return what the targets of a service that serve have in common."""
        known = self._services.get(service)
        if known and now - known.counted_at < _SERVICE_SECONDS:
            return known
        if len(self._services) >= _MAX_KINDS_COUNT:
            self._services.clear()
        loads = [
            self._registry.loads[target.id]
            for target in self._registry.list_targets()
            if target.service == service and not target.is_draining
        ]
        known = _ServiceTargets(
            slots=sum(
                load.slots for load in loads if not load.is_suspended(now)
            ),
            is_reported=any(load.machine_percent is not None for load in loads),
            counted_at=now,
        )
        self._services[service] = known
        return known

    def _record_kind(self, caller: Caller, now: float) -> None:
        key = (caller.service, caller.priority, caller.route)
        if key not in self._kinds and len(self._kinds) >= _MAX_KINDS_COUNT:
            self._kinds.clear()
        self._kinds[key] = _Kind(caller.objective_seconds, now)

    def _list_more_urgent(self, caller: Caller, now: float) -> list[Caller]:
        """Return a new caller of each more urgent kind of the service."""
        return [
            Caller(
                route=route,
                service=service,
                priority=priority,
                objective_seconds=kind.objective_seconds,
                remaining_seconds=kind.objective_seconds,
            )
            for (service, priority, route), kind in self._kinds.items()
            if service == caller.service
            and priority < caller.priority
            and now - kind.seen_at <= _KIND_SECONDS
        ]


def make_caller(admitted: AdmittedRequest, now: float) -> Caller:
    """Return what load shedding needs of a request."""
    return Caller(
        route=admitted.route.name,
        service=admitted.service.name,
        priority=admitted.priority,
        objective_seconds=admitted.objective_seconds,
        remaining_seconds=admitted.deadline - now,
    )


def _fill(candidate: Candidate, fraction: float) -> Candidate:
    """Return a candidate with a fraction of its slots taken in addition."""
    places = round(fraction * candidate.load.slots)
    if not places:
        return candidate
    load = copy.copy(candidate.load)
    load.in_flight += places
    return Candidate(candidate.target, load)


def _compute_queue_seconds(
    candidate: Candidate, expected_seconds: float, now: float
) -> float:
    """Return after how long a target has a slot that no request waits for."""
    load = candidate.load
    waiting = max(0.0, load.estimate_requests(now) + 1 - load.slots)
    return waiting * expected_seconds * load.compute_slowdown(now) / load.slots
