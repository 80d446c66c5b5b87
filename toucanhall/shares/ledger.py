"""Admits requests against this VM's share of each team's limit."""

import threading
from collections.abc import Callable, Mapping
from typing import Final

from toucanhall import runtime
from toucanhall.shares.bucket import Bucket
from toucanhall.shares.messages import GiftRequest
from toucanhall.shares.parts import Limit
from toucanhall.shares.share import (
    Share,
    accept,
    ask,
    give_tokens,
    hold,
    make_share,
    spend,
)

__all__ = ('Ledger',)

# Retry-after while the share is not confirmed.
_UNCONFIRMED_RETRY_AFTER_SECONDS: Final = 1.0


class Ledger:
    """The shares of this VM, one per team, with their common expiry."""

    def __init__(self) -> None:
        """Create a ledger without shares."""
        self._lock = threading.Lock()
        self._shares: dict[str, Share] = {}
        self._valid_until = 0.0
        self._request: Callable[[GiftRequest, int], None] | None = None

    def listen(self, request: Callable[[GiftRequest, int], None]) -> None:
        """Set the function that sends gift requests; it also gets the turn."""
        self._request = request

    def resize(self, limits: Mapping[str, Limit], until: float) -> None:
        """Set the share of each team's limit, valid until a time."""
        now = runtime.read_clock()
        with self._lock:
            self._valid_until = until
            self._shares = {
                team: hold(self._get_share(team, now), limit, now)
                for team, limit in limits.items()
            }

    def admit(self, team: str) -> float | None:
        """Take one token; return `None`, or the retry-after if refused."""
        with self._lock:
            now = runtime.read_clock()
            if now >= self._valid_until or team not in self._shares:
                return _UNCONFIRMED_RETRY_AFTER_SECONDS
            share, wait = spend(self._get_share(team, now), now)
            share, wanted = ask(share, now)
            self._shares[team] = share
        if wanted and self._request is not None:
            self._request(GiftRequest(team, wanted, now), share.turn)
        return wait

    def give_tokens(self, team: str, wanted: float) -> float:
        """Debit a gift and return its tokens; 0 while unconfirmed."""
        with self._lock:
            now = runtime.read_clock()
            if now >= self._valid_until or team not in self._shares:
                return 0.0
            share, tokens = give_tokens(self._get_share(team, now), wanted, now)
            self._shares[team] = share
        return tokens

    def accept(self, team: str, tokens: float, asked_at: float) -> None:
        """Add a gift that answers a gift request of this process."""
        with self._lock:
            now = runtime.read_clock()
            share = accept(self._get_share(team, now), tokens, asked_at, now)
            self._shares[team] = share

    def read(self) -> Mapping[str, Bucket]:
        """Return the buckets as of their last use."""
        with self._lock:
            return {team: share.bucket for team, share in self._shares.items()}

    def _get_share(self, team: str, now: float) -> Share:
        return self._shares.get(team, make_share(now))
