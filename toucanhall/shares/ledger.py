"""Admits requests against this VM's share of each team's limit."""

import threading
from collections.abc import Mapping

from toucanhall import runtime
from toucanhall.catalogue import Team
from toucanhall.shares.bucket import Bucket, resize, take, wait_for

__all__ = ('Ledger',)


class Ledger:
    """The buckets of this VM, one per team."""

    def __init__(self) -> None:
        """Start with no share of any limit."""
        self._lock = threading.Lock()
        self._buckets: dict[str, Bucket] = {}

    def resize(self, teams: Mapping[str, Team], part: float) -> None:
        """Hold a part, from 0 to 1, of the limit of each team."""
        now = runtime.read_clock()
        with self._lock:
            self._buckets = {
                name: resize(
                    self._buckets.get(name) or Bucket(0, now, 0, 0),
                    team.rate * part,
                    team.burst * part,
                    now,
                )
                for name, team in teams.items()
            }

    def admit(self, team: str) -> float | None:
        """Take one token; return `None`, or the seconds to wait for one."""
        now = runtime.read_clock()
        with self._lock:
            bucket = self._buckets.get(team)
            if bucket is None:
                return 0.0
            left, admitted = take(bucket, now)
            self._buckets[team] = left
        return None if admitted else wait_for(left)

    def read(self) -> Mapping[str, Bucket]:
        """Return the buckets as they were last used."""
        with self._lock:
            return dict(self._buckets)
