"""Runs a fleet under load and faults and prints the results of its calls."""

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

_CATALOGUE_PATH: Final = (
    Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
)
_CALLER_COUNT: Final = 6
_RUN_SECONDS: Final = 14.0
_KILL_VM_AFTER_SECONDS: Final = 2.0
_KILL_TARGET_AFTER_SECONDS: Final = 4.0
_WITHDRAW_KEY_AFTER_SECONDS: Final = 6.0
_MAX_WITHDRAWAL_SECONDS: Final = 8.0
_MAX_CALL_SECONDS: Final = 10.0
# If its target is killed, nobody can tell whether a booking has run.
_ACCEPTED_RESULTS: Final = frozenset(('answered', MAY_HAVE_RUN))


class Outcome(NamedTuple):
    """The result of one call, with its start on the monotonic clock."""

    kind: str
    result: str
    started_at: float


class Demo:
    """The callers and the operator of the demo, with the results of calls."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Use a fleet that is running."""
        self._fleet = fleet
        self._outcomes: list[Outcome] = []
        self._lock = threading.Lock()
        self._withdrawn_at = float('inf')
        self._withdrawn_key_outcomes: list[Outcome] = []
        self._ends_at = time.monotonic() + _RUN_SECONDS

    def run(self, keys: dict[str, str]) -> None:
        """Run callers against the fleet and inject faults meanwhile."""
        callers = [
            threading.Thread(target=self._call, args=(keys['guides'], number))
            for number in range(_CALLER_COUNT)
        ]
        callers.append(
            threading.Thread(
                target=self._call_with_withdrawn_key, args=(keys['hostels'],)
            ),
        )
        for thread in callers:
            thread.start()
        self._inject_faults()
        for thread in callers:
            thread.join()

    def _inject_faults(self) -> None:
        started = time.monotonic()
        _sleep_until(started + _KILL_VM_AFTER_SECONDS)
        self._fleet.kill(self._fleet.vms[1].name)
        print(f'killed entry VM {self._fleet.vms[1].name}', flush=True)
        _sleep_until(started + _KILL_TARGET_AFTER_SECONDS)
        self._fleet.kill('guide-4')
        print('killed target guide-4', flush=True)
        _sleep_until(started + _WITHDRAW_KEY_AFTER_SECONDS)
        completed = self._fleet.run_command(
            'key', 'withdraw', 'hostels-key', f'--at={self._fleet.vms[0].url}',
        )  # fmt: skip
        if completed.returncode:
            raise RuntimeError(f'key withdraw failed: {completed.stderr}')
        self._withdrawn_at = time.monotonic()
        print('withdrew key hostels-key', flush=True)

    def _make_caller(self, first_vm_number: int) -> Caller:
        urls = [vm.url for vm in self._fleet.vms]
        first = first_vm_number % len(urls)
        return Caller(
            urls=(*urls[first:], *urls[:first]),
            record=lambda _attempt: None,
            patience=_MAX_CALL_SECONDS,
        )

    def _call(self, key: str, number: int) -> None:
        caller = self._make_caller(number)
        while time.monotonic() < self._ends_at:
            for kind, method, path, sent_key in (
                ('public', 'GET', '/tours/night', ''),
                ('team', 'GET', '/feed/times', key),
                ('booking', 'POST', '/bookings', key),
            ):
                outcome = _make_call(caller, kind, method, path, sent_key)
                with self._lock:
                    self._outcomes.append(outcome)
            time.sleep(0.02)

    def _call_with_withdrawn_key(self, key: str) -> None:
        caller = self._make_caller(3)
        # Calls go on past the time allowed for the withdrawal.
        while time.monotonic() < self._ends_at + 2:
            outcome = _make_call(caller, 'withdrawn', 'GET', '/feed/times', key)
            with self._lock:
                self._withdrawn_key_outcomes.append(outcome)
            time.sleep(0.05)

    def report(self) -> int:
        """Print the results by kind and a summary; return the exit code."""
        counts = Counter(
            (entry.kind, entry.result)
            for entry in self._outcomes + self._withdrawn_key_outcomes
        )
        print(f'\n{"request":<12}{"ended":<34}{"count":>7}')
        for (kind, result), count in sorted(counts.items()):
            print(f'{kind:<12}{result:<34}{count:>7}')
        accepted_count = sum(
            entry.result in _ACCEPTED_RESULTS for entry in self._outcomes
        )
        wrong_count = sum(entry.result == 'wrong' for entry in self._outcomes)
        repeated_run_count = self._count_repeated_runs()
        use_delays = [
            entry.started_at - self._withdrawn_at
            for entry in self._withdrawn_key_outcomes
            if entry.result == 'answered'
            and entry.started_at > self._withdrawn_at
        ]
        late_use_count = sum(
            delay > _MAX_WITHDRAWAL_SECONDS for delay in use_delays
        )
        if use_delays:
            print(
                f'last use of the withdrawn key: {max(use_delays):.2f} s after'
            )
        total = len(self._outcomes)
        print(
            f'demo: answered {accepted_count} of {total}, wrong {wrong_count}, '
            f'twice {repeated_run_count}, after-withdrawal {late_use_count}',
        )
        return int(
            accepted_count != total
            or bool(wrong_count or repeated_run_count or late_use_count)
        )

    def _count_repeated_runs(self) -> int:
        runs = Counter(
            entry['headers'].get('Idempotency-Key')
            for entry in self._fleet.read_journals()
            if entry['method'] == 'POST'
        )
        return sum(count > 1 for count in runs.values())


def _make_call(
    caller: Caller,
    kind: str,
    method: str,
    path: str,
    key: str,
) -> Outcome:
    started_at = time.monotonic()
    return Outcome(kind, caller.make(kind, method, path, key), started_at)


def main() -> int:
    """Run the demo; with `--keep` only start the fleet and wait for Ctrl-C."""
    parser = argparse.ArgumentParser(prog='demo', description=main.__doc__)
    parser.add_argument('--keep', action='store_true')
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(1))
    fleet = Fleet(catalogue=_CATALOGUE_PATH)
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
        _print_usage(fleet, keys['guides'])
        signal.pause()
    demo = Demo(fleet=fleet)
    demo.run(keys)
    return demo.report()


def _print_usage(fleet: Fleet, key: str) -> None:
    for vm in fleet.vms:
        print(f'{vm.name:<18}{vm.url}')
    url = fleet.vms[0].url
    print(f"curl -H 'X-Api-Key: {key}' {url}/.toucanhall/entry-vms")
    print(f"curl -H 'X-Api-Key: {key}' {url}/feed/times", flush=True)


def _sleep_until(wake_at: float) -> None:
    time.sleep(max(0, wake_at - time.monotonic()))


if __name__ == '__main__':
    sys.exit(main())
