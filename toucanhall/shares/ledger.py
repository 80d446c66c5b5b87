"""Admits requests against this VM's share of each team's limit."""

import threading
from collections.abc import Callable, Mapping
from typing import Final

from toucanhall import runtime
from toucanhall.shares.bucket import Bucket
from toucanhall.shares.messages import GiftRequest
from toucanhall.shares.parts import Limit
from toucanhall.shares.purse import (
    Purse,
    accept,
    ask,
    hold,
    make_purse,
    part_with,
    spend,
)

__all__ = ('Ledger',)

_UNCONFIRMED_SECONDS: Final = 1.0  # to wait while the share is not confirmed


class Ledger:
    """The purses of this VM, one per team, and until when they are valid."""

    def __init__(self) -> None:
        """Start with no share of any limit."""
        self._lock = threading.Lock()
        self._purses: dict[str, Purse] = {}
        self._until = 0.0
        self._request: Callable[[GiftRequest, int], None] | None = None

    def listen(self, request: Callable[[GiftRequest, int], None]) -> None:
        """Call a function with each ask for tokens, and its turn."""
        self._request = request

    def resize(self, limits: Mapping[str, Limit], until: float) -> None:
        """Hold a part of each team's limit, to be spent before a time."""
        now = runtime.read_clock()
        with self._lock:
            self._until = until
            self._purses = {
                team: hold(self._find(team, now), limit, now)
                for team, limit in limits.items()
            }

    def admit(self, team: str) -> float | None:
        """Take one token; return `None`, or the seconds to wait for one."""
        with self._lock:
            now = runtime.read_clock()
            if now >= self._until or team not in self._purses:
                return _UNCONFIRMED_SECONDS
            purse, wait = spend(self._find(team, now), now)
            purse, wanted = ask(purse, now)
            self._purses[team] = purse
        if wanted and self._request is not None:
            self._request(GiftRequest(team, wanted, now), purse.turn)
        return wait

    def part_with(self, team: str, wanted: float) -> float:
        """Debit a gift and return its tokens; none while not confirmed."""
        with self._lock:
            now = runtime.read_clock()
            if now >= self._until or team not in self._purses:
                return 0.0
            purse, tokens = part_with(self._find(team, now), wanted, now)
            self._purses[team] = purse
        return tokens

    def accept(self, team: str, tokens: float, asked_at: float) -> None:
        """Add a gift that answers an ask of this process."""
        with self._lock:
            now = runtime.read_clock()
            purse = accept(self._find(team, now), tokens, asked_at, now)
            self._purses[team] = purse

    def read(self) -> Mapping[str, Bucket]:
        """Return the buckets as they were last used."""
        with self._lock:
            return {team: purse.bucket for team, purse in self._purses.items()}

    def _find(self, team: str, now: float) -> Purse:
        return self._purses.get(team, make_purse(now))
