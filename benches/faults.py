"""Runs a fleet under a seeded schedule of faults and checks its answers."""

import argparse
import json
import random
import signal
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

from standins.callers import ATTEMPT_HEADER, Attempt, Caller
from standins.fleet import Fleet

_CATALOGUE_PATH: Final = (
    Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
)
_DURATION_SECONDS: Final = 40.0
_SETTLING_SECONDS: Final = 4.0
_MIN_WINDOW_SECONDS: Final = 5.0
_CALL_TIMEOUT_SECONDS: Final = 8.0
_TEAM_LIMITS: Final[dict[str, dict[str, float]]] = {
    'guides': {'rate': 300, 'burst': 300},
    'hostels': {'rate': 60, 'burst': 60},
}
# Half of the callers of `hostels` send on at once after refusals.
_CALLERS_PER_TEAM: Final = 12
_PAUSE_SECONDS: Final = 0.1
# Between the starts of two faults.
_FAULT_GAP_RANGE_SECONDS: Final = (1.0, 3.0)


class Fault(NamedTuple):
    """A fault to inject into the fleet and to end after some seconds."""

    name: str
    seconds: float
    start: Callable[[], None]
    end: Callable[[], None]


def main(arguments: Sequence[str]) -> int:
    """Run the schedule; return 1 if any forbidden event was counted."""
    parser = argparse.ArgumentParser(prog='bench faults')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_DURATION_SECONDS)
    parser.add_argument(
        '--only', nargs='*', help='names of the faults to inject; default: all'
    )
    options = parser.parse_args(arguments)
    fleet = Fleet(
        catalogue=_CATALOGUE_PATH,
        vms_per_zone=2,
        relayed=True,
        teams=_TEAM_LIMITS,
    )
    try:
        fleet.start()
        fleet.apply()
        keys = {
            team: fleet.grant(f'{team}-key', team)
            for team in ('guides', 'hostels')
        }
        time.sleep(_SETTLING_SECONDS)
        fault_run = FaultRun(fleet=fleet, keys=keys, seconds=options.seconds)
        fault_run.run(random.Random(options.seed), options.only)
        report = fault_run.summarise()
    finally:
        fleet.stop()
    print(json.dumps(report))
    return int(any(report[name] for name in _FORBIDDEN_COUNTS))


_FORBIDDEN_COUNTS: Final = (
    'twice',
    'wrong',
    'untrue_refusals',
    'keys_at_targets',
    'over_limit',
    'foreign_team',
)


class FaultRun:
    """The callers and faults of one run, and the recorded answers."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        keys: dict[str, str],
        seconds: float,
    ) -> None:
        """Prepare a run of some seconds against a running fleet."""
        self._fleet = fleet
        self._keys = keys
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._stop_at = time.monotonic() + seconds

    def run(self, rng: random.Random, only: list[str] | None) -> None:
        """Run the callers and inject faults until the time is over."""
        urls = tuple(vm.url for vm in self._fleet.vms)
        threads = [
            threading.Thread(
                target=self._call,
                args=(urls[number:] + urls[:number], team, number % 2 == 0),
            )
            for team in ('guides', 'hostels')
            for number in range(_CALLERS_PER_TEAM)
        ]
        for thread in threads:
            thread.start()
        self._inject_faults(rng, only)
        for thread in threads:
            thread.join()

    def summarise(self) -> dict[str, Any]:
        """Compare the answers to callers with what ran on the targets."""
        journal = self._fleet.read_journals()
        run_counts = Counter(
            entry['headers']['Idempotency-Key']
            for entry in journal
            if entry['method'] == 'POST'
        )
        ran_ids = {entry['headers'].get(ATTEMPT_HEADER) for entry in journal}
        untrue_refusals = [
            attempt
            for attempt in self._attempts
            if attempt.ran == 'no' and attempt.attempt_id in ran_ids
        ]
        for (kind, outcome), count in sorted(self._outcomes.items()):
            print(f'{kind:<10}{outcome:<36}{count:>7}')
        for attempt in untrue_refusals[:5]:
            print(
                f'refused, but ran on a target: {attempt.result} {attempt.call}'
            )
        max_ratio = max(self._compute_limit_ratios(journal), default=0)
        return {
            'calls': sum(self._outcomes.values()),
            'twice': sum(count > 1 for count in run_counts.values()),
            'wrong': sum(
                outcome == 'wrong' for _, outcome in self._outcomes.elements()
            ),
            'untrue_refusals': len(untrue_refusals),
            'keys_at_targets': self._count_keys(journal),
            'foreign_team': 0,
            'worst_over_bound': round(max_ratio, 3),
            'over_limit': int(max_ratio > 1),
        }

    def _call(
        self, urls: tuple[str, ...], team: str, follows_advice: bool
    ) -> None:
        ignores_refusals = team == 'hostels' and not follows_advice
        caller = Caller(
            urls=urls,
            record=self._record,
            patience=_CALL_TIMEOUT_SECONDS,
            follows_advice=not ignores_refusals,
        )
        pause = 0 if ignores_refusals else _PAUSE_SECONDS
        while time.monotonic() < self._stop_at:
            for method, path in (('GET', '/feed/times'), ('POST', '/bookings')):
                outcome = caller.make(team, method, path, self._keys[team])
                with self._lock:
                    self._outcomes[
                        f'{team}!' if ignores_refusals else team, outcome
                    ] += 1
                time.sleep(pause)

    def _record(self, attempt: Attempt) -> None:
        with self._lock:
            self._attempts.append(attempt)

    def _inject_faults(
        self, rng: random.Random, only: list[str] | None
    ) -> None:
        faults = {
            name: make_fault
            for name, make_fault in FAULTS.items()
            if not only or name in only
        }
        active: list[tuple[float, Fault]] = []
        next_at = time.monotonic() + rng.uniform(*_FAULT_GAP_RANGE_SECONDS)
        while time.monotonic() < self._stop_at:
            now = time.monotonic()
            for ended in [entry for entry in active if entry[0] <= now]:
                active.remove(ended)
                ended[1].end()
            if now >= next_at and len(active) < 3:
                fault = faults[rng.choice(sorted(faults))](
                    self._fleet,
                    rng,
                )
                if all(fault.name != other.name for _, other in active):
                    print(f'{fault.name} for {fault.seconds:.1f} s', flush=True)
                    fault.start()
                    active.append((now + fault.seconds, fault))
                next_at = now + rng.uniform(*_FAULT_GAP_RANGE_SECONDS)
            time.sleep(0.05)
        for _, fault in active:
            fault.end()

    def _compute_limit_ratios(
        self, journal: list[dict[str, Any]]
    ) -> Iterator[float]:
        admitted: dict[str, dict[str, float]] = defaultdict(dict)
        teams = {attempt.attempt_id: attempt.call.kind
                 for attempt in self._attempts}  # fmt: skip
        for entry in journal:
            team = teams.get(entry['headers'].get(ATTEMPT_HEADER, ''))
            request_id = entry['headers'].get('Toucanhall-Request-Id', '')
            if team:
                admitted[team].setdefault(request_id, entry['at'])
        for team, requests in admitted.items():
            limit = self._fleet.catalogue['teams'][team]
            times = sorted(requests.values())
            yield compute_max_limit_ratio(times, limit['rate'], limit['burst'])

    def _count_keys(self, journal: list[dict[str, Any]]) -> int:
        texts = (json.dumps(entry) for entry in journal)
        return sum(
            any(key in text for key in self._keys.values()) for text in texts
        )


def compute_max_limit_ratio(
    times: list[float], rate: float, burst: float
) -> float:
    """Return the maximum ratio of requests in a window to its limit.

    The limit of `t` seconds is `burst + rate * t`. An admitted request may run
    a little later, so windows of less than five seconds are ignored.
    """
    max_ratio = 0.0
    for first, start in enumerate(times):
        for last in range(first + 1, len(times), 7):
            span = times[last] - start
            if span >= _MIN_WINDOW_SECONDS:
                count = last - first + 1
                max_ratio = max(max_ratio, count / (burst + rate * span))
    return max_ratio


def kill_vm(fleet: Fleet, rng: random.Random) -> Fault:
    """Kill an entry VM; start it again at the end."""
    vm = rng.choice(fleet.vms)
    return Fault(
        f'kill {vm.name}',
        3,
        lambda: fleet.kill(vm.name),
        lambda: fleet.start_vm(vm),
    )


def freeze_vm(fleet: Fleet, rng: random.Random) -> Fault:
    """Pause the process of an entry VM; continue it at the end."""
    vm = rng.choice(fleet.vms)
    return Fault(
        f'freeze {vm.name}',
        rng.uniform(1, 8),
        lambda: fleet.signal(vm.name, signal.SIGSTOP),
        lambda: fleet.signal(vm.name, signal.SIGCONT),
    )


def kill_target(fleet: Fleet, rng: random.Random) -> Fault:
    """Kill a target; start it again at the end."""
    name = rng.choice(sorted(fleet.catalogue['targets']))
    return Fault(
        f'kill {name}',
        4,
        lambda: fleet.kill(name),
        lambda: fleet.start_target(name),
    )


def freeze_target(fleet: Fleet, rng: random.Random) -> Fault:
    """Pause the process of a target; continue it at the end."""
    name = rng.choice(sorted(fleet.catalogue['targets']))
    return Fault(
        f'freeze {name}',
        3,
        lambda: fleet.signal(name, signal.SIGSTOP),
        lambda: fleet.signal(name, signal.SIGCONT),
    )


def change_zone(mode: str) -> Callable[[Fleet, random.Random], Fault]:
    """Return a fault that sets the mode of all links of one zone."""

    def make_fault(fleet: Fleet, rng: random.Random) -> Fault:
        zone = rng.choice(sorted(fleet.catalogue['zones']))
        return Fault(
            f'{mode} {zone}',
            rng.uniform(3, 8),
            lambda: fleet.set_zone(zone, mode),
            lambda: fleet.set_zone(zone, 'open'),
        )

    return make_fault


def change_platform(mode: str) -> Callable[[Fleet, random.Random], Fault]:
    """Return a fault that sets the mode of the platform."""

    def make_fault(fleet: Fleet, rng: random.Random) -> Fault:
        return Fault(
            f'platform {mode}',
            rng.uniform(2, 6),
            lambda: fleet.switch('mode', mode),
            lambda: fleet.switch('mode', 'up'),
        )

    return make_fault


FAULTS: Final = {
    'kill-vm': kill_vm,
    'freeze-vm': freeze_vm,
    'kill-target': kill_target,
    'freeze-target': freeze_target,
    'cut-zone': change_zone('cut'),
    'silent-zone': change_zone('silent'),
    'slow-zone': change_zone('slow'),
    'platform-down': change_platform('down'),
    'platform-loses-replies': change_platform('lose-replies'),
}
