"""Runs the soak for one seed and checks all invariants."""

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
from standins.soak.limits import check_limits
from standins.soak.schedule import FaultSubjects, draw_faults
from toucanhall.observe import events

__all__ = ('run_soak',)

_CALLER_COUNT: Final = 6
_REQUEST_INTERVAL_SECONDS: Final = 0.03  # between the requests of a caller
_REQUEST_TIMEOUT_MS: Final = 3000
_BOOKING_FRACTION: Final = 0.3
_AFFINITY_KEY_COUNT: Final = 40
_RECOVERY_TIMEOUT_SECONDS: Final = 15.0
# From the acknowledgement of a withdrawal until all VMs deny the key, also
# those that receive it from other VMs only: a bound of the deployments.
_WITHDRAWAL_TIMEOUT_SECONDS: Final = 7.5
_FIRST_NETWORK_OCTET: Final = 100
_NETWORK_COUNT: Final = 100  # so many seeds can run at the same time


class _Callers:
    """Threads that send requests until they are stopped."""

    def __init__(
        self, *, injector: FaultInjector, subjects: FaultSubjects, seed: int
    ) -> None:
        self._injector = injector
        self._vms = subjects.vms
        self._seed = seed
        self._stopping = threading.Event()
        self.calls: list[Call] = []
        self._threads = [
            threading.Thread(target=self._send_requests, args=(number,))
            for number in range(_CALLER_COUNT)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_requests(self, caller: int) -> None:
        rng = random.Random(f'{self._seed} {caller}')
        number = 0
        while not self._stopping.wait(_REQUEST_INTERVAL_SECONDS):
            number += 1
            is_booking = rng.random() < _BOOKING_FRACTION
            route = 'book' if is_booking else 'view'
            self.calls.append(
                send_request(
                    self._injector,
                    rng.choice(self._vms),
                    f'/{route}/{caller}-{number}',
                    affinity_key=str(rng.randrange(_AFFINITY_KEY_COUNT)),
                ),
            )


def send_request(
    injector: FaultInjector,
    vm: str,
    path: str,
    *,
    affinity_key: str = '1',
    uses_other_key: bool = False,
) -> Call:
    """Send a request with the usual key, or with the one of the other team."""
    is_booking = path.startswith('/book/')
    started_at = time.monotonic()
    outcome = injector.deployment.request(
        vm,
        path,
        method='POST' if is_booking else 'GET',
        body=b'deposit' if is_booking else None,
        affinity_key=affinity_key,
        key=OTHER_KEY if uses_other_key else KEY,
        timeout_ms=_REQUEST_TIMEOUT_MS,
    )
    return Call(
        request_id=outcome.request_id,
        vm=vm,
        path=path,
        team=OTHER_TEAM if uses_other_key else TEAM,
        is_booking=is_booking,
        status=outcome.status,
        body=outcome.body,
        seconds=outcome.seconds,
        ended_at=time.monotonic(),
        is_vm_undisturbed=injector.was_undisturbed(vm, started_at),
        may_be_denied=uses_other_key,
    )


def run_soak(seed: int, seconds: float) -> list[str]:
    """Run the soak for one seed; return the violated invariants."""
    injector = FaultInjector(
        network_octet=_FIRST_NETWORK_OCTET + seed % _NETWORK_COUNT
    )
    try:
        subjects = injector.start()
        callers = _Callers(injector=injector, subjects=subjects, seed=seed)
        faults = draw_faults(seed, seconds, subjects)
        started_at = time.monotonic()
        callers.start()
        with ThreadPoolExecutor(len(faults) + 1) as pool:
            injections = []
            for fault in faults:
                time.sleep(
                    max(
                        0.0, started_at + fault.start_seconds - time.monotonic()
                    )
                )
                injections.append(pool.submit(injector.inject, fault))
        callers.stop()
        violations = [
            repr(injection.exception())
            for injection in injections
            if injection.exception()
        ]
        violations += _check_recovery(injector, subjects)
        runs = [
            run
            for target in injector.deployment.targets.values()
            for run in target.executed
        ]
        calls = [*callers.calls, *injector.recovery_calls]
        violations += check_calls(calls, runs)
        violations += check_runs(calls, runs)
        violations += check_limits(
            calls,
            injector.deployment.targets.values(),
            injector.list_disturbances(),
        )
        violations += _check_vm_processes(injector, subjects)
        statuses = dict(sorted(Counter(call.status for call in calls).items()))
        kinds = dict(sorted(Counter(fault.kind for fault in faults).items()))
        print(
            f'seed {seed}: {len(violations)} violations, {len(calls)} requests '
            f'{statuses}, faults {kinds}, logs {injector.deployment.folder}',
            flush=True,
        )
        return violations
    finally:
        injector.stop()


def _check_recovery(
    injector: FaultInjector, subjects: FaultSubjects
) -> list[str]:
    """Check that all VMs serve again, and deny a withdrawn key."""

    def is_served(vm: str) -> bool:
        return (
            send_recovery_request(vm, uses_other_key=False).status
            == HTTPStatus.OK
        )

    def is_denied(vm: str) -> bool:
        return (
            send_recovery_request(vm, uses_other_key=True).status
            == HTTPStatus.UNAUTHORIZED
        )

    def send_recovery_request(vm: str, *, uses_other_key: bool) -> Call:
        path = f'/view/last-{time.monotonic_ns()}'
        call = send_request(injector, vm, path, uses_other_key=uses_other_key)
        injector.recovery_calls.append(call)
        return call

    violations = []
    try:
        wait_until(
            lambda: all(is_served(vm) for vm in subjects.vms),
            'all VMs serve requests after the last fault',
            _RECOVERY_TIMEOUT_SECONDS,
        )
        injector.withdraw_other_key()
        wait_until(
            lambda: all(is_denied(vm) for vm in subjects.vms),
            'all VMs deny the withdrawn key',
            _WITHDRAWAL_TIMEOUT_SECONDS,
        )
    except TimeoutError as error:
        violations.append(str(error))
    return violations


def _check_vm_processes(
    injector: FaultInjector, subjects: FaultSubjects
) -> list[str]:
    violations = [
        f'{vm}: its process ended without a fault'
        for vm in subjects.vms
        if injector.deployment.vms[vm].poll() is not None
    ]
    violations += [
        f'{vm}: {line}'
        for vm in subjects.vms
        for line in injector.deployment.find_events(
            vm, events.REQUEST_CRASHED.number
        )
    ]
    return violations
