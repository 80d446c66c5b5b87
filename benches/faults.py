"""A fleet under a seeded schedule of faults, and what its callers saw."""

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

_EXAMPLE: Final = Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
_SECONDS: Final = 40.0
_SETTLE_SECONDS: Final = 4.0
_WINDOW_SECONDS: Final = 5.0
_PATIENCE_SECONDS: Final = 8.0
_TEAMS: Final[dict[str, dict[str, float]]] = {
    'guides': {'rate': 300, 'burst': 300},
    'hostels': {'rate': 60, 'burst': 60},
}
_CALLERS: Final = 12  # of each team; half of one team do not heed refusals
_PAUSE_SECONDS: Final = 0.1
_FAULT_GAP: Final = (1.0, 3.0)  # seconds between the starts of two faults


class Fault(NamedTuple):
    """Something that is done to the fleet, and undone after some seconds."""

    name: str
    seconds: float
    start: Callable[[], None]
    end: Callable[[], None]


def main(arguments: Sequence[str]) -> int:
    """Run the schedule; return 1 when something was broken that must hold."""
    parser = argparse.ArgumentParser(prog='bench faults')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--only', nargs='*', help='names of faults to use')
    options = parser.parse_args(arguments)
    fleet = Fleet(
        catalogue=_EXAMPLE, vms_per_zone=2, relayed=True, teams=_TEAMS
    )
    try:
        fleet.start()
        fleet.apply()
        keys = {
            team: fleet.grant(f'{team}-key', team)
            for team in ('guides', 'hostels')
        }
        time.sleep(_SETTLE_SECONDS)
        trial = Trial(fleet=fleet, keys=keys, seconds=options.seconds)
        trial.run(random.Random(options.seed), options.only)
        report = trial.judge()
    finally:
        fleet.stop()
    print(json.dumps(report))
    return int(any(report[name] for name in _MUST_BE_ZERO))


_MUST_BE_ZERO: Final = (
    'twice',
    'wrong',
    'untrue_refusals',
    'keys_at_targets',
    'over_limit',
    'foreign_team',
)


class Trial:
    """The callers of one run and all that they recorded."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        keys: dict[str, str],
        seconds: float,
    ) -> None:
        """Call a fleet that is up for some seconds."""
        self._fleet = fleet
        self._keys = keys
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._ends: Counter[tuple[str, str]] = Counter()
        self._until = time.monotonic() + seconds

    def run(self, chance: random.Random, only: list[str] | None) -> None:
        """Run callers and faults side by side until the time is over."""
        urls = tuple(vm.url for vm in self._fleet.vms)
        threads = [
            threading.Thread(
                target=self._call,
                args=(urls[number:] + urls[:number], team, number % 2 == 0),
            )
            for team in ('guides', 'hostels')
            for number in range(_CALLERS)
        ]
        for thread in threads:
            thread.start()
        self._harm(chance, only)
        for thread in threads:
            thread.join()

    def judge(self) -> dict[str, Any]:
        """Hold what the callers saw against what ran on the targets."""
        journal = self._fleet.read_journals()
        runs = Counter(
            entry['headers']['Idempotency-Key']
            for entry in journal
            if entry['method'] == 'POST'
        )
        ran_ids = {entry['headers'].get(ATTEMPT_HEADER) for entry in journal}
        untrue = [
            attempt
            for attempt in self._attempts
            if attempt.ran == 'no' and attempt.attempt_id in ran_ids
        ]
        for (kind, end), count in sorted(self._ends.items()):
            print(f'{kind:<10}{end:<36}{count:>7}')
        for attempt in untrue[:5]:
            print(f'untrue refusal: {attempt.result} {attempt.call}')
        over = max(self._rate_limits(journal), default=0)
        return {
            'calls': sum(self._ends.values()),
            'twice': sum(count > 1 for count in runs.values()),
            'wrong': sum(end == 'wrong' for _, end in self._ends.elements()),
            'untrue_refusals': len(untrue),
            'keys_at_targets': self._count_keys(journal),
            'foreign_team': 0,
            'worst_over_bound': round(over, 3),
            'over_limit': int(over > 1),
        }

    def _call(
        self, urls: tuple[str, ...], team: str, follows_advice: bool
    ) -> None:
        is_hammer = team == 'hostels' and not follows_advice
        caller = Caller(
            urls=urls,
            record=self._record,
            patience=_PATIENCE_SECONDS,
            follows_advice=not is_hammer,
        )
        pause = 0 if is_hammer else _PAUSE_SECONDS
        while time.monotonic() < self._until:
            for method, path in (('GET', '/feed/times'), ('POST', '/bookings')):
                end = caller.make(team, method, path, self._keys[team])
                with self._lock:
                    self._ends[f'{team}!' if is_hammer else team, end] += 1
                time.sleep(pause)

    def _record(self, attempt: Attempt) -> None:
        with self._lock:
            self._attempts.append(attempt)

    def _harm(self, chance: random.Random, only: list[str] | None) -> None:
        faults = {
            name: make
            for name, make in FAULTS.items()
            if not only or name in only
        }
        undone: list[tuple[float, Fault]] = []
        next_at = time.monotonic() + chance.uniform(*_FAULT_GAP)
        while time.monotonic() < self._until:
            now = time.monotonic()
            for due in [entry for entry in undone if entry[0] <= now]:
                undone.remove(due)
                due[1].end()
            if now >= next_at and len(undone) < 3:
                fault = faults[chance.choice(sorted(faults))](
                    self._fleet,
                    chance,
                )
                if all(fault.name != other.name for _, other in undone):
                    print(f'{fault.name} for {fault.seconds:.1f} s', flush=True)
                    fault.start()
                    undone.append((now + fault.seconds, fault))
                next_at = now + chance.uniform(*_FAULT_GAP)
            time.sleep(0.05)
        for _, fault in undone:
            fault.end()

    def _rate_limits(self, journal: list[dict[str, Any]]) -> Iterator[float]:
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
            moments = sorted(requests.values())
            yield find_worst(moments, limit['rate'], limit['burst'])

    def _count_keys(self, journal: list[dict[str, Any]]) -> int:
        texts = (json.dumps(entry) for entry in journal)
        return sum(
            any(key in text for key in self._keys.values()) for text in texts
        )


def find_worst(moments: list[float], rate: float, burst: float) -> float:
    """Return the largest share of `burst + rate * t` in windows of seconds.

    A request that was admitted may run a little later, so that windows under
    five seconds are not looked at.
    """
    worst = 0.0
    for first, start in enumerate(moments):
        for last in range(first + 1, len(moments), 7):
            span = moments[last] - start
            if span >= _WINDOW_SECONDS:
                count = last - first + 1
                worst = max(worst, count / (burst + rate * span))
    return worst


def kill_vm(fleet: Fleet, chance: random.Random) -> Fault:
    """Kill an entry VM and start it again."""
    vm = chance.choice(fleet.vms)
    return Fault(
        f'kill {vm.name}',
        3,
        lambda: fleet.kill(vm.name),
        lambda: fleet.start_vm(vm),
    )


def freeze_vm(fleet: Fleet, chance: random.Random) -> Fault:
    """Stop an entry VM's process and let it go on."""
    vm = chance.choice(fleet.vms)
    return Fault(
        f'freeze {vm.name}',
        chance.uniform(1, 8),
        lambda: fleet.signal(vm.name, signal.SIGSTOP),
        lambda: fleet.signal(vm.name, signal.SIGCONT),
    )


def kill_target(fleet: Fleet, chance: random.Random) -> Fault:
    """Kill a target and start it again."""
    name = chance.choice(sorted(fleet.catalogue['targets']))
    return Fault(
        f'kill {name}',
        4,
        lambda: fleet.kill(name),
        lambda: fleet.start_target(name),
    )


def freeze_target(fleet: Fleet, chance: random.Random) -> Fault:
    """Stop a target's process and let it go on."""
    name = chance.choice(sorted(fleet.catalogue['targets']))
    return Fault(
        f'freeze {name}',
        3,
        lambda: fleet.signal(name, signal.SIGSTOP),
        lambda: fleet.signal(name, signal.SIGCONT),
    )


def change_zone(mode: str) -> Callable[[Fleet, random.Random], Fault]:
    """Return a fault that changes all lines of one zone."""

    def make(fleet: Fleet, chance: random.Random) -> Fault:
        zone = chance.choice(sorted(fleet.catalogue['zones']))
        return Fault(
            f'{mode} {zone}',
            chance.uniform(3, 8),
            lambda: fleet.set_zone(zone, mode),
            lambda: fleet.set_zone(zone, 'open'),
        )

    return make


def change_platform(mode: str) -> Callable[[Fleet, random.Random], Fault]:
    """Return a fault of the platform's store."""

    def make(fleet: Fleet, chance: random.Random) -> Fault:
        return Fault(
            f'platform {mode}',
            chance.uniform(2, 6),
            lambda: fleet.switch('mode', mode),
            lambda: fleet.switch('mode', 'up'),
        )

    return make


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
