"""Parts of the rate of a team.

Load pattern: callers of a team move between zones, and one team sends many
times its rate. Each VM admits the part of the rate that its demand has in the
demand of the fleet; both are as of the last heartbeats, so that the parts of
all VMs add up to the whole.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from toucanhall.fleet.model import Team

__all__ = ('Demand', 'Quotas')

_DEMAND_SECONDS: Final = 2.0  # time constant of the measured demand
# Part of the average demand that a VM without any keeps, to admit the first.
_IDLE_SHARE: Final = 0.1
# Part of the burst that is handed out: the rest covers VMs that were cut off
# and count the parts of VMs that started elsewhere.
_BURST_SHARE: Final = 0.5
_LEAST_BURST: Final = 1.0
_LONGEST_RETRY_SECONDS: Final = 1.0


class Demand:
    """Requests a second of each team at this VM."""

    def __init__(self, *, now: float) -> None:
        """Start without any request."""
        self._counts: dict[str, int] = {}
        self._rates: dict[str, float] = {}
        self._since = now

    def count(self, team: str) -> None:
        """Count a request, admitted or not."""
        self._counts[team] = self._counts.get(team, 0) + 1

    def measure(self, now: float) -> dict[str, float]:
        """Return the rates, smoothed; called with each heartbeat."""
        elapsed = now - self._since
        if elapsed <= 0:
            return self._rates
        weight = min(1.0, elapsed / _DEMAND_SECONDS)
        for team in self._rates.keys() | self._counts.keys():
            rate = self._counts.get(team, 0) / elapsed
            known = self._rates.get(team, 0.0)
            self._rates[team] = round(known + (rate - known) * weight, 2)
        self._counts = {}
        self._since = now
        return {team: rate for team, rate in self._rates.items() if rate > 0}


class _Bucket:
    __slots__ = ('tokens', 'updated_at')

    def __init__(self, *, now: float) -> None:
        self.tokens = 0.0
        self.updated_at = now


class Quotas:
    """Buckets of the teams, filled with this VM's part of their rates."""

    def __init__(self) -> None:
        """Start with empty buckets, whatever was spent before."""
        self._buckets: dict[str, _Bucket] = {}
        self._parts: dict[str, float] = {}
        self._idle_part = 1.0

    def divide(
        self,
        own: Mapping[str, float],
        others: Iterable[Mapping[str, float]],
    ) -> None:
        """Take the demands of this VM and of each other one."""
        demands = [own, *others]
        teams = {team for demand in demands for team in demand}
        self._idle_part = 1 / len(demands)
        self._parts = {
            team: _divide(own.get(team, 0.0), [d.get(team, 0.0) for d in demands])
            for team in teams
        }

    def admit(self, team: Team, now: float) -> float:
        """Return 0 if a request is admitted, else seconds to come back in."""
        if team.rate is None:
            return 0.0
        part = self._parts.get(team.name, self._idle_part)
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(now=now)
            bucket.tokens = 1.0
            self._buckets[team.name] = bucket
        most = max(_LEAST_BURST, team.burst * part * _BURST_SHARE)
        added = (now - bucket.updated_at) * team.rate * part
        bucket.tokens = min(most, bucket.tokens + added)
        bucket.updated_at = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return 0.0
        wait = (1 - bucket.tokens) / (team.rate * part)
        return min(_LONGEST_RETRY_SECONDS, wait)


def _divide(own: float, demands: list[float]) -> float:
    floor = _IDLE_SHARE * sum(demands) / len(demands) or 1.0
    return (own + floor) / (sum(demands) + floor * len(demands))
