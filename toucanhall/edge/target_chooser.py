"""Chooses the target of the next attempt for a request."""

import asyncio

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.attempts import Attempts, make_query
from toucanhall.placement.choice import (
    TARGETS_PER_OBJECT,
    Candidate,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.response_times import ResponseTimes

__all__ = ('TargetChooser',)


class TargetChooser:
    """Chooses by the order for the object, by load and by rates."""

    def __init__(
        self, *, registry: TargetRegistry, response_times: ResponseTimes
    ) -> None:
        """Choose among the targets of `registry`."""
        self._registry = registry
        self._response_times = response_times
        self._loop = asyncio.get_running_loop()

    def choose(
        self,
        admitted: AdmittedRequest,
        attempts: Attempts,
    ) -> Candidate | None:
        """Return the target of the next attempt; None if all are full.

        The request counts against the rates of the target.
        """
        now = self._loop.time()
        query = make_query(admitted, attempts)
        urgency = RequestUrgency(
            seconds_to_objective=admitted.objective_at - now,
            expected_seconds=self._response_times.get(
                admitted.route.name,
                admitted.objective_seconds,
            ),
            priority=admitted.priority,
            policy=self._registry.policy,
        )
        rate = admitted.service.cold_per_second
        while True:
            candidates = self._registry.list_candidates(
                query, now, TARGETS_PER_OBJECT
            )
            chosen = choose_target(candidates, urgency, now)
            if not chosen or self._registry.try_acquire(
                chosen.target, rate, now
            ):
                return chosen
            query = query._replace(tried=query.tried | {chosen.target.id})
