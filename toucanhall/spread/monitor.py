"""Holds the freshness state of the revision of this process."""

import threading
from collections.abc import Callable
from typing import Final

from toucanhall import events, runtime
from toucanhall.spread import comparison
from toucanhall.spread.acceptance import Known
from toucanhall.spread.comparison import Comparison
from toucanhall.spread.freshness import (
    SETTLE_SECONDS,
    STORE,
    begin,
    is_settled,
    may_serve,
    record_evidence,
    tick,
)
from toucanhall.spread.messages import RevisionAnswer, RevisionQuery

__all__ = ('FreshnessMonitor',)

_SETTLE_TIMEOUT_SECONDS: Final = SETTLE_SECONDS + 2


class FreshnessMonitor:
    """The comparison state, read per request and updated under a lock."""

    def __init__(self) -> None:
        """Start without any evidence."""
        self._lock = threading.Condition()
        self._state = Comparison(begin(runtime.read_clock()), {})
        self._was_settled = False

    def tick(self, peers: int | None) -> None:
        """Record that the process runs; called several times a second."""
        now = runtime.read_clock()
        self._update(
            lambda state: state._replace(
                freshness=tick(state.freshness, now, peers),
            ),
        )
        settled = self.is_settled()
        if settled is not self._was_settled:
            self._was_settled = settled
            events.log(
                events.FRESHNESS_GAINED if settled else events.FRESHNESS_LOST,
            )

    def record_evidence(self, as_of: float) -> None:
        """Record that the store held no newer revision at `as_of`."""
        now = runtime.read_clock()
        self._update(
            lambda state: state._replace(
                freshness=record_evidence(state.freshness, as_of, STORE, now),
            ),
        )

    def make_query(self, held: Known, address: str) -> RevisionQuery:
        """Return a query for a peer."""
        now = runtime.read_clock()
        with self._lock:
            state_and_query = comparison.make_query(
                self._state, held, address, now
            )
            self._state = state_and_query[0]
        return state_and_query[1]

    def make_answer(self, held: Known, query: RevisionQuery) -> RevisionAnswer:
        """Return the answer to a peer's query."""
        self._update(lambda state: comparison.receive_query(state, query))
        return comparison.make_answer(
            self._state,
            held,
            query,
            runtime.read_clock(),
        )

    def receive_answer(
        self, held: Known, answer: RevisionAnswer, peer: str
    ) -> None:
        """Apply the answer of a peer."""
        now = runtime.read_clock()
        self._update(
            lambda state: comparison.receive_answer(
                state, held, answer, peer, now
            ),
        )

    def is_settled(self) -> bool:
        """Return whether the state is settled since the last start or pause."""
        return is_settled(self._state.freshness, runtime.read_clock())

    def wait_settled(self) -> bool:
        """Wait until settled, or for a time-out; return whether settled."""
        with self._lock:
            return self._lock.wait_for(self.is_settled, _SETTLE_TIMEOUT_SECONDS)

    def may_serve(self, hold_seconds: float) -> bool:
        """Return whether keys may be relied on."""
        return may_serve(
            self._state.freshness,
            runtime.read_clock(),
            hold_seconds,
        )

    def read_age(self) -> float | None:
        """Return the seconds since the revision was known to be newest."""
        as_of = self._state.freshness.as_of
        return None if as_of is None else runtime.read_clock() - as_of

    def read_heard(self) -> Known:
        """Return the newest revision that any peer named."""
        return self._state.newest_known

    def _update(self, update: Callable[[Comparison], Comparison]) -> None:
        with self._lock:
            self._state = update(self._state)
            self._lock.notify_all()
