"""Runs a fleet, acts as its callers and operators, and tells how it went."""

import argparse
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Final, NamedTuple

from standins.callers import MAY_HAVE_RUN, Caller
from standins.fleet import Fleet

_EXAMPLE: Final = Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
_CALLERS: Final = 6
_RUN_SECONDS: Final = 14.0
_KILL_VM_AT: Final = 2.0
_KILL_TARGET_AT: Final = 4.0
_WITHDRAW_AT: Final = 6.0
_WITHDRAWN_WITHIN: Final = 8.0
_PATIENCE_SECONDS: Final = 10.0
# A booking whose target was killed while it ran has no better true answer.
_ENDED_WELL: Final = frozenset(('answered', MAY_HAVE_RUN))


class Outcome(NamedTuple):
    """How one request of a caller ended."""

    kind: str
    ended: str
    asked_at: float


class Demo:
    """The callers of the demo, its operator, and what they saw."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Act on a fleet that is up."""
        self._fleet = fleet
        self._outcomes: list[Outcome] = []
        self._lock = threading.Lock()
        self._withdrawn_at = float('inf')
        self._late: list[Outcome] = []
        self._until = time.monotonic() + _RUN_SECONDS

    def run(self, keys: dict[str, str]) -> None:
        """Call for a while, and do harm meanwhile."""
        callers = [
            threading.Thread(target=self._call, args=(keys['guides'], number))
            for number in range(_CALLERS)
        ]
        callers.append(
            threading.Thread(
                target=self._call_withdrawn, args=(keys['hostels'],)
            ),
        )
        for thread in callers:
            thread.start()
        self._harm()
        for thread in callers:
            thread.join()

    def _harm(self) -> None:
        started = time.monotonic()
        _sleep_until(started + _KILL_VM_AT)
        self._fleet.kill(self._fleet.vms[1].name)
        print(f'killed entry VM {self._fleet.vms[1].name}', flush=True)
        _sleep_until(started + _KILL_TARGET_AT)
        self._fleet.kill('guide-4')
        print('killed target guide-4', flush=True)
        _sleep_until(started + _WITHDRAW_AT)
        done = self._fleet.run_command(
            'key', 'withdraw', 'hostels-key', f'--at={self._fleet.vms[0].url}',
        )  # fmt: skip
        if done.returncode:
            raise RuntimeError(f'withdrawal failed: {done.stderr}')
        self._withdrawn_at = time.monotonic()
        print('withdrew key hostels-key', flush=True)

    def _make_caller(self, known: int) -> Caller:
        urls = [vm.url for vm in self._fleet.vms]
        first = known % len(urls)
        return Caller(
            urls=(*urls[first:], *urls[:first]),
            record=lambda _attempt: None,
            patience=_PATIENCE_SECONDS,
        )

    def _call(self, key: str, number: int) -> None:
        caller = self._make_caller(number)
        while time.monotonic() < self._until:
            for kind, method, path, shown in (
                ('public', 'GET', '/tours/night', ''),
                ('team', 'GET', '/feed/times', key),
                ('booking', 'POST', '/bookings', key),
            ):
                outcome = _fetch(caller, kind, method, path, shown)
                with self._lock:
                    self._outcomes.append(outcome)
            time.sleep(0.02)

    def _call_withdrawn(self, key: str) -> None:
        caller = self._make_caller(3)
        while time.monotonic() < self._until + 2:
            outcome = _fetch(caller, 'withdrawn', 'GET', '/feed/times', key)
            with self._lock:
                self._late.append(outcome)
            time.sleep(0.05)

    def report(self) -> int:
        """Print the table and the last line; return the exit code."""
        counts = Counter(
            (entry.kind, entry.ended) for entry in self._outcomes + self._late
        )
        print(f'\n{"request":<12}{"ended":<34}{"count":>7}')
        for (kind, ended), count in sorted(counts.items()):
            print(f'{kind:<12}{ended:<34}{count:>7}')
        answered = sum(entry.ended in _ENDED_WELL for entry in self._outcomes)
        wrong = sum(entry.ended == 'wrong' for entry in self._outcomes)
        twice = self._count_twice()
        served = [
            entry.asked_at - self._withdrawn_at
            for entry in self._late
            if entry.ended == 'answered' and entry.asked_at > self._withdrawn_at
        ]
        after = sum(late > _WITHDRAWN_WITHIN for late in served)
        if served:
            print(f'last use of the withdrawn key: {max(served):.2f} s after')
        total = len(self._outcomes)
        print(
            f'demo: answered {answered} of {total}, wrong {wrong}, '
            f'twice {twice}, after-withdrawal {after}',
        )
        return int(answered != total or bool(wrong or twice or after))

    def _count_twice(self) -> int:
        runs = Counter(
            entry['headers'].get('Idempotency-Key')
            for entry in self._fleet.read_journals()
            if entry['method'] == 'POST'
        )
        return sum(count > 1 for count in runs.values())


def _fetch(
    caller: Caller,
    kind: str,
    method: str,
    path: str,
    key: str,
) -> Outcome:
    asked_at = time.monotonic()
    return Outcome(kind, caller.make(kind, method, path, key), asked_at)


def main() -> int:
    """Run the demo; with `--keep` leave the fleet up until Ctrl-C."""
    parser = argparse.ArgumentParser(prog='demo', description=main.__doc__)
    parser.add_argument('--keep', action='store_true')
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(1))
    fleet = Fleet(catalogue=_EXAMPLE)
    try:
        return _run(fleet, keep=options.keep)
    except KeyboardInterrupt:
        return 1
    finally:
        fleet.stop()


def _run(fleet: Fleet, *, keep: bool) -> int:
    fleet.start()
    fleet.apply()
    keys = {
        team: fleet.grant(f'{team}-key', team) for team in ('guides', 'hostels')
    }
    print(f'{len(fleet.processes)} processes are up', flush=True)
    if keep:
        _tell_how(fleet, keys['guides'])
        signal.pause()
    demo = Demo(fleet=fleet)
    demo.run(keys)
    return demo.report()


def _tell_how(fleet: Fleet, key: str) -> None:
    for vm in fleet.vms:
        print(f'{vm.name:<18}{vm.url}')
    url = fleet.vms[0].url
    print(f"curl -H 'X-Api-Key: {key}' {url}/.toucanhall/entry-vms")
    print(f"curl -H 'X-Api-Key: {key}' {url}/feed/times", flush=True)


def _sleep_until(moment: float) -> None:
    time.sleep(max(0, moment - time.monotonic()))


if __name__ == '__main__':
    sys.exit(main())
