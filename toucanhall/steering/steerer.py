"""Runs the policy for the request threads; a lock guards each decision."""

import threading
from collections.abc import Mapping
from typing import Final, TypeAlias

from toucanhall import runtime
from toucanhall.steering import links
from toucanhall.steering.links import Meter
from toucanhall.steering.policy import count_spare, decide
from toucanhall.steering.records import (
    Arrive,
    Carry,
    Effect,
    End,
    Event,
    Expire,
    Refuse,
    Resize,
    Run,
    State,
    Wait,
)

__all__ = ('Decision', 'Steerer')

Decision: TypeAlias = Run | Carry | Refuse

_NO_TARGET_REASON: Final = 'no-target'


class _PendingDecision(threading.Event):
    """Hands a decision to the thread that waits for it."""

    decision: Decision | None = None


class Steerer:
    """The states of all services on this VM and the waiting threads."""

    def __init__(self) -> None:
        """Create a steerer without services."""
        self._lock = threading.Lock()
        self._states: dict[str, State] = {}
        self._meters: dict[str, Meter] = {}
        self._waiting: dict[str, _PendingDecision] = {}
        self.is_sized = False

    def resize(
        self,
        sizes: Mapping[str, Resize],
        parts: Mapping[str, float],
    ) -> None:
        """Update the targets and peers of services, and the shares of links.

        `parts` maps a region to the bytes/s that this VM may receive from it.
        """
        now = runtime.read_clock()
        with self._lock:
            for service, size in sizes.items():
                self._states.setdefault(service, State({}, {}))
                self._decide(service, size, now)
            self._meters = {
                region: links.resize(
                    self._meters.get(region, Meter(updated_at=now)),
                    part,
                    now,
                )
                for region, part in parts.items()
            }
        self.is_sized = True

    def choose(self, service: str, arrival: Arrive) -> Decision:
        """Decide on a request, after waiting for a free slot if necessary."""
        now = runtime.read_clock()
        pending = _PendingDecision()
        with self._lock:
            if service not in self._states:
                return Refuse(arrival.ticket, _NO_TARGET_REASON, 0)
            self._waiting[arrival.ticket] = pending
            closed = frozenset(
                region
                for region, meter in self._meters.items()
                if not links.is_open(meter, now)
            )
            self._decide(
                service,
                arrival._replace(closed_regions=closed),
                now,
            )
        return self._wait_for_decision(service, arrival, pending)

    def finish(self, service: str, end: End) -> None:
        """Record the end of a request that ran here or was carried."""
        with self._lock:
            if service in self._states:
                self._decide(service, end, runtime.read_clock())

    def spend(self, region: str, count: int) -> float:
        """Record bytes received from a region; return the seconds to pause."""
        now = runtime.read_clock()
        with self._lock:
            meter = self._meters.get(region)
            if meter is None:
                return 0.0
            spent = links.spend(meter, count, now)
            self._meters[region] = spent
            return links.wait_for(spent)

    def count_spare(self, service: str, *, shifting: bool) -> int:
        """Return the free slots to report to other VMs."""
        with self._lock:
            state = self._states.get(service)
            if state is None:
                return 0
            now = runtime.read_clock()
            return count_spare(state, now, shifting=shifting)

    def read(self) -> Mapping[str, State]:
        """Return the states by service."""
        with self._lock:
            return dict(self._states)

    def _decide(self, service: str, event: Event, now: float) -> None:
        state, effects = decide(self._states[service], event, now)
        self._states[service] = state
        for effect in effects:
            self._deliver(effect)

    def _deliver(self, effect: Effect) -> None:
        if isinstance(effect, Wait):
            return
        pending = self._waiting.pop(effect.ticket, None)
        if pending is not None:
            pending.decision = effect
            pending.set()

    def _wait_for_decision(
        self,
        service: str,
        arrival: Arrive,
        pending: _PendingDecision,
    ) -> Decision:
        if not pending.is_set():
            pending.wait(arrival.expires_at - runtime.read_clock())
        if pending.decision is None:
            with self._lock:
                self._decide(
                    service,
                    Expire(arrival.ticket),
                    runtime.read_clock(),
                )
        return pending.decision or Refuse(arrival.ticket, 'deadline', 1)
