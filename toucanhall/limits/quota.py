"""The limit of a team over all VMs, kept from what each VM told of itself.

Load patterns: callers of a team move between zones; a team of a low rate sends
to many VMs, a few requests each; one team sends many times its rate; VMs are
cut off and go on; all VMs start again at once.

Each VM tells with its heartbeat how many requests it admitted for each team
in the last window, and how many a second arrived. What the window still has
room for is divided by demand. A VM spends at most a half of its part between
two heartbeats: a quarter where the others hear of it late.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.model import Team

__all__ = ('Quotas', 'Usage')

_DEMAND_WEIGHT: Final = 0.4  # of the last beat in the smoothed demand
# Part of the average demand that a VM without any keeps, to admit the first.
_IDLE_SHARE: Final = 0.2
_SPEND_SHARE: Final = 0.5  # of the own part of the room, between two beats
# Part of the window that a VM which has just started takes as spent before.
_START_SHARE: Final = 0.8
_LEAST_TOKENS: Final = 1.0
_LONGEST_RETRY_SECONDS: Final = 1.5
# Share of the limit above which the others have to hear of each request soon.
_BUSY_SHARE: Final = 0.55


class Usage(NamedTuple):
    """Requests of a team: admitted in the last window, and per second."""

    admitted: int = 0
    demand: float = 0.0


class _Meter:
    """Requests of one team at this VM."""

    __slots__ = ('admitted', 'arrived', 'demand', 'past', 'room', 'tokens')

    def __init__(self) -> None:
        self.admitted = 0
        self.arrived = 0
        self.demand = 0.0
        self.past: list[int] = []
        self.room = 0.0
        self.tokens = 0.0


class Quotas:
    """The part of each team's limit that this VM may spend."""

    def __init__(self, *, window: float, beat: float, now: float) -> None:
        """Take the window of the limits and the time between beats (s)."""
        self._window = window
        self._beats = int(window / beat) + 1
        self._started_at = now
        self._beat_at = now
        self._meters: dict[str, _Meter] = {}
        self.is_busy = False

    def admit(self, team: Team, now: float) -> float:
        """Return 0 if a request is admitted, else seconds to come back in."""
        if team.rate is None:
            return 0.0
        meter = self._meters.get(team.name)
        if meter is None:
            meter = _Meter()
            meter.tokens = _LEAST_TOKENS
            self._meters[team.name] = meter
        meter.arrived += 1
        if meter.tokens >= 1:
            meter.tokens -= 1
            meter.admitted += 1
            return 0.0
        self.is_busy = True
        return self._find_wait(meter, now)

    def measure(self, now: float) -> dict[str, Usage]:
        """End a beat; return what is to be told to the other VMs."""
        elapsed = max(0.001, now - self._beat_at)
        self._beat_at = now
        told = {}
        for name, meter in self._meters.items():
            rate = meter.arrived / elapsed
            meter.demand += (rate - meter.demand) * _DEMAND_WEIGHT
            meter.past = [meter.admitted, *meter.past][: self._beats]
            meter.arrived = 0
            meter.admitted = 0
            usage = Usage(sum(meter.past), round(meter.demand, 2))
            if usage.admitted or usage.demand:
                told[name] = usage
        return told

    def divide(
        self,
        teams: Iterable[Team],
        own: Mapping[str, Usage],
        others: Iterable[Mapping[str, Usage]],
        now: float,
    ) -> None:
        """Fill the tokens of each team from what all VMs told."""
        all_vms = [own, *others]
        self.is_busy = False
        for team in teams:
            if team.rate is None:
                continue
            usages = [told.get(team.name, _NOTHING) for told in all_vms]
            self._fill(team, team.rate, own.get(team.name, _NOTHING), usages, now)

    def _fill(
        self,
        team: Team,
        rate: float,
        own: Usage,
        usages: list[Usage],
        now: float,
    ) -> None:
        meter = self._meters.setdefault(team.name, _Meter())
        limit = rate * self._window + team.burst
        admitted = sum(usage.admitted for usage in usages)
        started = max(0.0, 1 - (now - self._started_at) / self._window)
        spent = max(admitted, _START_SHARE * limit * started)
        room = max(0.0, limit - spent) * _divide(own, usages)
        if admitted > _BUSY_SHARE * limit:
            self.is_busy = True
        meter.room = room
        meter.tokens = min(
            max(_LEAST_TOKENS, room),
            meter.tokens + room * _SPEND_SHARE,
        )

    def _find_wait(self, meter: _Meter, now: float) -> float:
        if meter.room * _SPEND_SHARE >= 1:
            next_beat = self._beat_at + self._window / self._beats
            return max(0.05, next_beat - now)
        return _LONGEST_RETRY_SECONDS


def _divide(own: Usage, usages: list[Usage]) -> float:
    total = sum(usage.demand for usage in usages)
    floor = _IDLE_SHARE * total / len(usages) or 1.0
    return (own.demand + floor) / (total + floor * len(usages))


_NOTHING: Final = Usage()
