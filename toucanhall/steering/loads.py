"""What this VM knows of each target: requests in flight and outcomes."""

import threading
from collections.abc import Mapping
from typing import Final, NamedTuple

from toucanhall import runtime

__all__ = ('Load', 'Loads')

_TRIP_FAILURES: Final = 3
_OPEN_SECONDS: Final = 2.0


class Load(NamedTuple):
    """Requests in flight, failures in a row, and when to probe again."""

    in_flight: int = 0
    failures: int = 0
    open_until: float = 0.0


class Loads:
    """Loads by target, changed by the outcome of each request."""

    def __init__(self) -> None:
        """Start with every target idle and healthy."""
        self._lock = threading.Lock()
        self._loads: dict[str, Load] = {}

    def start(self, target: str) -> None:
        """Count a request that goes to a target."""
        with self._lock:
            load = self._loads.get(target, Load())
            self._loads[target] = load._replace(in_flight=load.in_flight + 1)

    def finish(self, target: str, *, healthy: bool) -> None:
        """Count the end of a request and how the target did."""
        now = runtime.read_clock()
        with self._lock:
            load = self._loads.get(target, Load())
            self._loads[target] = _settle(load, healthy=healthy, now=now)

    def read(self) -> Mapping[str, Load]:
        """Return the loads of all targets that were ever used."""
        with self._lock:
            return dict(self._loads)


def _settle(load: Load, *, healthy: bool, now: float) -> Load:
    in_flight = max(0, load.in_flight - 1)
    if healthy:
        return Load(in_flight)
    failures = load.failures + 1
    is_tripped = failures >= _TRIP_FAILURES
    return Load(
        in_flight,
        failures,
        now + _OPEN_SECONDS if is_tripped else load.open_until,
    )
