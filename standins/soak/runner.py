"""Plays the faults of one seed and checks every promise."""

import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Final

from standins.site.deployment import wait_until
from standins.site.documents import KEY
from standins.soak.injector import OTHER_KEY, OTHER_TEAM, TEAM, FaultInjector
from standins.soak.invariants import Call, check_calls, check_runs
from standins.soak.schedule import FaultSubjects, draw_faults
from toucanhall.observe import events

__all__ = ('run_soak',)

_CALLERS: Final = 6
_PAUSE_SECONDS: Final = 0.03  # of a caller between two requests
_PATIENCE_MS: Final = 3000
_BOOKINGS: Final = 0.3  # share of the requests
_ITEMS: Final = 40
_RECOVERY_SECONDS: Final = 15.0
# In force everywhere, for VMs that hear of it from others (the bounds of the
# deployments, from the acknowledgement).
_WITHDRAWN_SECONDS: Final = 7.5
_FIRST_NET: Final = 100
_NETS: Final = 100  # seeds that may be played at the same time


class _Callers:
    """Callers that make requests until they are told to stop."""

    def __init__(
        self, *, field: FaultInjector, subjects: FaultSubjects, seed: int
    ) -> None:
        self._field = field
        self._vms = subjects.vms
        self._seed = seed
        self._stopping = threading.Event()
        self.calls: list[Call] = []
        self._threads = [
            threading.Thread(target=self._call_on, args=(number,))
            for number in range(_CALLERS)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _call_on(self, caller: int) -> None:
        chance = random.Random(f'{self._seed} {caller}')
        number = 0
        while not self._stopping.wait(_PAUSE_SECONDS):
            number += 1
            is_booking = chance.random() < _BOOKINGS
            route = 'book' if is_booking else 'view'
            self.calls.append(
                call(
                    self._field,
                    chance.choice(self._vms),
                    f'/{route}/{caller}-{number}',
                    item=str(chance.randrange(_ITEMS)),
                ),
            )


def call(
    field: FaultInjector,
    vm: str,
    path: str,
    *,
    item: str = '1',
    is_other: bool = False,
) -> Call:
    """Make a request of a caller, or of one whose key may be withdrawn."""
    is_booking = path.startswith('/book/')
    began = time.monotonic()
    outcome = field.site.request(
        vm,
        path,
        method='POST' if is_booking else 'GET',
        body=b'deposit' if is_booking else None,
        item=item,
        key=OTHER_KEY if is_other else KEY,
        wait_ms=_PATIENCE_MS,
    )
    return Call(
        request_id=outcome.request_id,
        vm=vm,
        path=path,
        team=OTHER_TEAM if is_other else TEAM,
        is_booking=is_booking,
        status=outcome.status,
        body=outcome.body,
        seconds=outcome.seconds,
        is_vm_undisturbed=field.was_undisturbed(vm, began),
        may_be_denied=is_other,
    )


def run_soak(seed: int, seconds: float) -> list[str]:
    """Play one run; return what was wrong."""
    field = FaultInjector(net=_FIRST_NET + seed % _NETS)
    try:
        subjects = field.start()
        callers = _Callers(field=field, subjects=subjects, seed=seed)
        faults = draw_faults(seed, seconds, subjects)
        began = time.monotonic()
        callers.start()
        with ThreadPoolExecutor(len(faults) + 1) as pool:
            struck = []
            for fault in faults:
                time.sleep(
                    max(0.0, began + fault.start_seconds - time.monotonic())
                )
                struck.append(pool.submit(field.inject, fault))
        callers.stop()
        wrong = [
            repr(found.exception()) for found in struck if found.exception()
        ]
        wrong += _check_recovery(field, subjects)
        runs = [
            run
            for found in field.site.targets.values()
            for run in found.executed
        ]
        asked = [*callers.calls, *field.recovery_calls]
        wrong += check_calls(asked, runs)
        wrong += check_runs(asked, runs)
        wrong += _check_programs(field, subjects)
        statuses = dict(
            sorted(Counter(found.status for found in asked).items())
        )
        kinds = dict(sorted(Counter(found.kind for found in faults).items()))
        print(
            f'seed {seed}: {len(wrong)} wrong, {len(asked)} requests '
            f'{statuses}, faults {kinds}, logs {field.site.folder}',
            flush=True,
        )
        return wrong
    finally:
        field.stop()


def _check_recovery(field: FaultInjector, subjects: FaultSubjects) -> list[str]:
    """Check that all VMs serve again, and deny a key that is withdrawn."""

    def is_served(vm: str) -> bool:
        return ask(vm, is_other=False).status == HTTPStatus.OK

    def is_denied(vm: str) -> bool:
        return ask(vm, is_other=True).status == HTTPStatus.UNAUTHORIZED

    def ask(vm: str, *, is_other: bool) -> Call:
        path = f'/view/last-{time.monotonic_ns()}'
        found = call(field, vm, path, is_other=is_other)
        field.recovery_calls.append(found)
        return found

    wrong = []
    try:
        wait_until(
            lambda: all(is_served(vm) for vm in subjects.vms),
            'all VMs serve',
            _RECOVERY_SECONDS,
        )
        field.withdraw_other_key()
        wait_until(
            lambda: all(is_denied(vm) for vm in subjects.vms),
            'the withdrawn key is denied',
            _WITHDRAWN_SECONDS,
        )
    except TimeoutError as error:
        wrong.append(str(error))
    return wrong


def _check_programs(field: FaultInjector, subjects: FaultSubjects) -> list[str]:
    wrong = [
        f'{vm} ended by itself'
        for vm in subjects.vms
        if field.site.vms[vm].poll() is not None
    ]
    wrong += [
        f'{vm}: {line}'
        for vm in subjects.vms
        for line in field.site.find_events(vm, events.REQUEST_CRASHED.number)
    ]
    return wrong
