"""Holds what this process knows of the freshness of its revision."""

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
    learn,
    may_serve,
    tick,
)
from toucanhall.spread.messages import RevisionQuery, RevisionAnswer

__all__ = ('FreshnessMonitor',)

_WAIT_SECONDS: Final = SETTLE_SECONDS + 2


class FreshnessMonitor:
    """The comparison state, read per request and changed under a lock."""

    def __init__(self) -> None:
        """Start without any evidence."""
        self._lock = threading.Condition()
        self._state = Comparison(begin(runtime.read_clock()), {})
        self._was_settled = False

    def tick(self, peers: int | None) -> None:
        """Note that the process runs; called several times a second."""
        now = runtime.read_clock()
        self._change(
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

    def learn(self, as_of: float) -> None:
        """Note that the store itself held no newer revision at a time."""
        now = runtime.read_clock()
        self._change(
            lambda state: state._replace(
                freshness=learn(state.freshness, as_of, STORE, now),
            ),
        )

    def ask(self, held: Known, address: str) -> RevisionQuery:
        """Return a question for a peer."""
        now = runtime.read_clock()
        with self._lock:
            asked = comparison.ask(self._state, held, address, now)
            self._state = asked[0]
        return asked[1]

    def answer(self, held: Known, question: RevisionQuery) -> RevisionAnswer:
        """Return the answer to a peer's question."""
        self._change(lambda state: comparison.hear_ask(state, question))
        return comparison.tell(
            self._state,
            held,
            question,
            runtime.read_clock(),
        )

    def hear(self, held: Known, answer: RevisionAnswer, peer: str) -> None:
        """Take the answer of a peer."""
        now = runtime.read_clock()
        self._change(
            lambda state: comparison.hear_told(state, held, answer, peer, now),
        )

    def is_settled(self) -> bool:
        """Return whether revisions were compared since start or pause."""
        return is_settled(self._state.freshness, runtime.read_clock())

    def wait_settled(self) -> bool:
        """Wait until revisions were compared; return whether they were."""
        with self._lock:
            return self._lock.wait_for(self.is_settled, _WAIT_SECONDS)

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
        return self._state.heard

    def _change(self, change: Callable[[Comparison], Comparison]) -> None:
        with self._lock:
            self._state = change(self._state)
            self._lock.notify_all()
