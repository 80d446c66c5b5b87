"""Runs a fleet, acts as its callers and operators, and tells how it went."""

import argparse
import json
import signal
import sys
import threading
import time
import uuid
from collections import Counter
from pathlib import Path
from typing import Any, Final, NamedTuple

import urllib3

from standins.fleet import Fleet

_EXAMPLE: Final = Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
_CALLERS: Final = 6
_RUN_SECONDS: Final = 14.0
_KILL_VM_AT: Final = 2.0
_KILL_TARGET_AT: Final = 4.0
_WITHDRAW_AT: Final = 6.0
_WITHDRAWN_WITHIN: Final = 8.0
_PATIENCE_SECONDS: Final = 10.0
_CALL_SECONDS: Final = 5.0
_OK: Final = 200
_MAY_HAVE_RUN: Final = 'refused for good, may have run'
# A booking whose target was killed while it ran has no better true answer.
_ENDED_WELL: Final = frozenset(('answered', _MAY_HAVE_RUN))


class Outcome(NamedTuple):
    """How one request of a caller ended."""

    kind: str
    ended: str
    asked_at: float


class Caller:
    """Asks which entry VM to use, then sends requests and follows refusals."""

    def __init__(self, *, fleet: Fleet, key: str, known: int) -> None:
        """Know one entry VM to ask first."""
        self._fleet = fleet
        self.key = key
        self._known = known
        self._vms: list[str] = []
        self._hold_until = 0.0
        self._http = urllib3.PoolManager(retries=False)

    def fetch(self, kind: str, method: str, path: str) -> Outcome:
        """Send one request until it has an answer or patience ends."""
        nonce = uuid.uuid4().hex
        asked_at = time.monotonic()
        headers = {'X-Api-Key': self.key} if kind != 'public' else {}
        if method == 'POST':
            headers['Idempotency-Key'] = nonce
        ended = 'unanswered'
        while time.monotonic() < asked_at + _PATIENCE_SECONDS:
            ended, pause = self._try(method, f'{path}?n={nonce}', headers)
            if not pause:
                break
            time.sleep(pause)
        return Outcome(kind, ended, asked_at)

    def _try(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
    ) -> tuple[str, float]:
        url = self._choose()
        body = path.encode() if method == 'POST' else None
        try:
            response = self._http.request(
                method, f'{url}{path}', body=body, headers=headers,
                timeout=_CALL_SECONDS,
            )  # fmt: skip
        except urllib3.exceptions.HTTPError:
            self._vms = [vm for vm in self._vms if vm != url]
            return 'unanswered', 0.05
        if response.status == _OK:
            echoed = response.json()
            is_own = echoed['path'] == path and echoed['method'] == method
            return ('answered' if is_own else 'wrong'), 0
        reason = response.json().get('reason', 'none')
        pause = float(response.headers.get('Retry-After', 0))
        if response.headers.get('Toucanhall-Ran') == 'maybe' and not pause:
            return _MAY_HAVE_RUN, 0
        return f'refused: {reason}', pause

    def _choose(self) -> str:
        if not self._vms or time.monotonic() > self._hold_until:
            self._ask()
        return self._vms[0] if self._vms else self._fleet.vms[self._known].url

    def _ask(self) -> None:
        for offset in range(len(self._fleet.vms)):
            number = (self._known + offset) % len(self._fleet.vms)
            url = f'{self._fleet.vms[number].url}/.toucanhall/entry-vms'
            try:
                response = self._http.request(
                    'GET', url, headers={'X-Api-Key': self.key}, timeout=1,
                )  # fmt: skip
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == _OK:
                advice = response.json()
                self._vms = [vm[2] for vm in advice['vms']]
                self._hold_until = time.monotonic() + advice['hold_seconds']
                return


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

    def _call(self, key: str, number: int) -> None:
        caller = Caller(fleet=self._fleet, key=key, known=number)
        while time.monotonic() < self._until:
            for kind, method, path in (
                ('public', 'GET', '/tours/night'),
                ('team', 'GET', '/feed/times'),
                ('booking', 'POST', '/bookings'),
            ):
                outcome = caller.fetch(kind, method, path)
                with self._lock:
                    self._outcomes.append(outcome)
            time.sleep(0.02)

    def _call_withdrawn(self, key: str) -> None:
        caller = Caller(fleet=self._fleet, key=key, known=3)
        while time.monotonic() < self._until + 2:
            outcome = caller.fetch('withdrawn', 'GET', '/feed/times')
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
    keys = {team: _grant(fleet, team) for team in ('guides', 'hostels')}
    print(f'{len(fleet.processes)} processes are up', flush=True)
    if keep:
        _tell_how(fleet, keys['guides'])
        signal.pause()
    demo = Demo(fleet=fleet)
    demo.run(keys)
    return demo.report()


def _grant(fleet: Fleet, team: str) -> str:
    done = fleet.run_command(
        'key', 'grant', f'{team}-key', f'--team={team}', '--json',
        f'--at={fleet.vms[0].url}',
    )  # fmt: skip
    granted: dict[str, Any] = json.loads(done.stdout)
    return str(granted['key'])


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
