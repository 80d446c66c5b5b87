"""Counters of refusals, retries and dropped messages, sent to statsd."""

import threading
from collections import Counter
from typing import Final

import statsd

__all__ = ('Counters',)

_PREFIX: Final = 'toucanhall'


class Counters:
    """Counts by name in memory and, if configured, sends to statsd."""

    def __init__(self, *, host: str, port: int) -> None:
        """Create a UDP client for statsd unless the host is empty."""
        self._lock = threading.Lock()
        self._totals: Counter[str] = Counter()
        self._client = (
            statsd.StatsClient(host, port, prefix=_PREFIX) if host else None
        )

    def add(self, name: str) -> None:
        """Count one occurrence of a dotted name, such as `refused.rate`."""
        with self._lock:
            self._totals[name] += 1
        if self._client is not None:
            self._client.incr(name)

    def read(self) -> dict[str, int]:
        """Return the totals since the process started."""
        with self._lock:
            return dict(self._totals)
