"""Injects faults into the links, VMs, targets and store of a deployment."""

import random
import signal
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from standins.site.deployment import REGIONS_BY_ZONE, Deployment
from standins.site.documents import (
    KEY,
    make_configuration,
    make_rule,
    make_target_entry,
)
from standins.site.store import StoreCopy
from standins.soak.invariants import Call
from standins.soak.limits import Disturbance
from standins.soak.links import LinkMode, LinkProxy
from standins.soak.schedule import Fault, FaultSubjects
from toucanhall.web.messages import Request

__all__ = ('OTHER_KEY', 'OTHER_TEAM', 'TEAM', 'FaultInjector')

TEAM: Final = 'guides'
OTHER_TEAM: Final = 'partners'
OTHER_KEY: Final = 'partner-key'
_VMS_PER_ZONE: Final = 3
_TARGETS_PER_ZONE: Final = 2
_STORE_PORT: Final = 8382
_TARGET_PORT: Final = 9000
# After this time the platform restarts a process that has ended.
_RESTART_DELAY_SECONDS: Final = 0.5
# For this time after a fault a VM may lack its tables: still disturbed.
_TABLE_READ_SECONDS: Final = 1.0
# After the store came back from a copy, until what it lost is written again.
_REWRITE_DELAY_SECONDS: Final = 0.5


class FaultInjector:
    """Starts the deployment of one run and injects faults into its parts."""

    def __init__(self, *, network_octet: int) -> None:
        """Choose the loopback network; `network_octet` is its second octet."""
        self.deployment = Deployment(network_octet=network_octet)
        self._network_octet = network_octet
        self._active_modes: dict[tuple[str, str], list[str]] = defaultdict(list)
        self._links: dict[tuple[str, str], LinkProxy] = {}
        self._addresses: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._vms_with_fault: set[str] = set()
        self._disturbances: dict[str, list[list[float]]] = defaultdict(list)
        self._lock = threading.Lock()
        self._has_other_key = True
        self._extra_routes = 0
        self._version = 0
        self.recovery_calls: list[Call] = []
        self._actions: dict[str, Callable[[Fault], None]] = {
            'vm': self._inject_vm_fault,
            'target': self._inject_target_fault,
            'target limit': self._inject_limit,
            'store': self._inject_store_fault,
            'target link': self._inject_link_fault,
            'store link': self._inject_link_fault,
            'change': self._inject_change,
            'restore': self._restore_store,
            'second entry': self._list_twice,
        }
        self._vm_actions: dict[str, Callable[[str, float], None]] = {
            'kill': self._kill,
            'pause': self._pause,
            'terminate': self._terminate,
            'reload': self._reload,
        }
        self._changes: dict[str, Callable[[Fault], None]] = {
            'routes': self._add_route,
            'withdraw': self._withdraw_key,
            'evacuate': self._evacuate,
            'drain': self._drain,
            'compact': self._compact,
        }

    def start(self) -> FaultSubjects:
        """Start all processes; return what faults may be injected into."""
        self.deployment.__enter__()
        self._configure()
        for zone in REGIONS_BY_ZONE:
            for number in range(_TARGETS_PER_ZONE):
                self._add_target(f'{zone}-target-{number}', zone)
        for zone in REGIONS_BY_ZONE:
            for number in range(_VMS_PER_ZONE):
                self._add_vm(f'{zone}-vm-{number}', zone)
        self.deployment.wait_ready()
        return FaultSubjects(
            vms=tuple(self.deployment.vms),
            targets=tuple(self.deployment.targets),
            zones=tuple(REGIONS_BY_ZONE),
        )

    def stop(self) -> None:
        """Stop the links, VMs, targets and the store."""
        for link in self._links.values():
            self.deployment.run_coroutine(link.stop())
        self.deployment.__exit__()

    def inject(self, fault: Fault) -> None:
        """Inject a fault; return when it has ended."""
        self._actions[fault.kind](fault)

    def was_undisturbed(self, vm: str, since: float) -> bool:
        """Return whether a VM has had no fault of its own since a time.

        Such a fault stops, pauses or reloads its process.
        """
        with self._lock:
            return all(end < since for _start, end in self._disturbances[vm])

    def list_disturbances(self) -> dict[str, list[Disturbance]]:
        """Return the times in which each VM had a fault of its own."""
        with self._lock:
            return {
                vm: [Disturbance(start, end) for start, end in found]
                for vm, found in self._disturbances.items()
            }

    def withdraw_other_key(self) -> None:
        """Withdraw the key of the other team for the rest of the run."""
        self._has_other_key = False
        self._configure()

    def _add_target(self, name: str, zone: str) -> None:
        self.deployment.add_target(name, zone)
        self._zones[name] = zone
        host = f'127.{self._network_octet}.150.{len(self.deployment.targets)}'
        self._start_link(
            'target link', name, self.deployment.get_ip(name), host
        )
        self._register(name)

    def _register(self, name: str, state: str = 'ready') -> None:
        entry = make_target_entry(
            self._addresses[name],
            self._zones[name],
            state=state,
        )
        self.deployment.write('servers', name, entry)

    def _add_vm(self, name: str, zone: str) -> None:
        self._zones[name] = zone
        host = f'127.{self._network_octet}.160.{len(self.deployment.vms) + 1}'
        self._start_link(
            'store link', name, f'127.{self._network_octet}.200.1', host
        )
        self._start_vm(name)

    def _start_vm(self, name: str) -> None:
        self.deployment.start_vm(
            name,
            self._zones[name],
            store=self._addresses[name],
        )

    def _start_link(
        self, kind: str, name: str, upstream_host: str, host: str
    ) -> None:
        port = _STORE_PORT if kind == 'store link' else _TARGET_PORT
        link = LinkProxy(host=upstream_host, port=port)
        self.deployment.run_coroutine(link.start(host, port))
        self._links[kind, name] = link
        self._addresses[name] = f'{host}:{port}'

    def _apply_for_duration(
        self,
        fault: Fault,
        apply: Callable[[str], None],
    ) -> None:
        """Apply the mode of a fault for its duration.

        Faults of one part may overlap: when one ends, the mode of the latest
        that still lasts is applied.
        """
        active_modes = self._active_modes[fault.kind, fault.subject]
        active_modes.append(fault.mode)
        apply(fault.mode)
        time.sleep(fault.seconds)
        active_modes.remove(fault.mode)
        apply(active_modes[-1] if active_modes else 'well')

    def _inject_link_fault(self, fault: Fault) -> None:
        link = self._links[fault.kind, fault.subject]

        def apply(mode: str) -> None:
            link_mode: LinkMode = mode  # type: ignore[assignment]
            self.deployment.call_in_loop(link.set_mode, link_mode)

        self._apply_for_duration(fault, apply)

    def _inject_target_fault(self, fault: Fault) -> None:
        target = self.deployment.targets[fault.subject]

        def apply(mode: str) -> None:
            target.mode = mode

        self._apply_for_duration(fault, apply)

    def _list_twice(self, fault: Fault) -> None:
        """List a target under another id too, while it repeats refusals."""
        entry = make_target_entry(
            self._addresses[fault.subject], self._zones[fault.subject]
        )
        earlier_name = f'{fault.subject}-{round(fault.start_seconds * 1000)}'
        self.deployment.write('servers', earlier_name, entry)
        self._inject_target_fault(fault._replace(kind='target'))
        self.deployment.remove('servers', earlier_name)

    def _inject_limit(self, fault: Fault) -> None:
        target = self.deployment.targets[fault.subject]

        def apply(mode: str) -> None:
            content = '' if mode == 'well' else mode
            self.deployment.call_in_loop(target.name_limit, content)

        self._apply_for_duration(fault, apply)

    def _inject_store_fault(self, fault: Fault) -> None:
        def apply(mode: str) -> None:
            status_or_mode = int(mode) if mode.isdigit() else mode

            def decide(_request: Request) -> int | str | None:
                return None if status_or_mode == 'well' else status_or_mode

            self.deployment.call_in_loop(
                self.deployment.store.set_fault, decide
            )

        self._apply_for_duration(fault, apply)

    def _inject_vm_fault(self, fault: Fault) -> None:
        vm = fault.subject
        with self._lock:
            if vm in self._vms_with_fault:
                return
            self._vms_with_fault.add(vm)
            disturbance = [time.monotonic(), float('inf')]
            self._disturbances[vm].append(disturbance)
        try:
            self._vm_actions[fault.mode](vm, fault.seconds)
        finally:
            with self._lock:
                disturbance[1] = time.monotonic() + _TABLE_READ_SECONDS
                self._vms_with_fault.discard(vm)

    def _kill(self, vm: str, _seconds: float) -> None:
        self.deployment.signal_vm(vm, signal.SIGKILL)
        self._restart(vm)

    def _terminate(self, vm: str, _seconds: float) -> None:
        self.deployment.signal_vm(vm, signal.SIGTERM)
        self._restart(vm)

    def _restart(self, vm: str) -> None:
        self.deployment.vms[vm].wait()
        time.sleep(_RESTART_DELAY_SECONDS)
        self._start_vm(vm)
        self.deployment.wait_ready(vm)

    def _pause(self, vm: str, seconds: float) -> None:
        self.deployment.signal_vm(vm, signal.SIGSTOP)
        time.sleep(seconds)
        self.deployment.signal_vm(vm, signal.SIGCONT)

    def _reload(self, vm: str, _seconds: float) -> None:
        (self.deployment.folder / f'{vm}.yaml').touch()
        self.deployment.signal_vm(vm, signal.SIGHUP)

    def _inject_change(self, fault: Fault) -> None:
        self._changes[fault.mode](fault)

    def _add_route(self, _fault: Fault) -> None:
        self._extra_routes += 1
        self._configure()

    def _withdraw_key(self, fault: Fault) -> None:
        self._has_other_key = False
        self._configure()
        time.sleep(fault.seconds)
        self._has_other_key = True
        self._configure()

    def _evacuate(self, fault: Fault) -> None:
        self.deployment.write('evacuations', fault.subject, {})
        time.sleep(fault.seconds)
        self.deployment.remove('evacuations', fault.subject)

    def _restore_store(self, fault: Fault) -> None:
        """Bring the store back from a copy; what it lost is written again."""
        store = self.deployment.store
        stored = self.deployment.compute_in_loop(store.make_copy)
        time.sleep(fault.seconds)

        def restore() -> StoreCopy:
            lost = store.make_copy()
            store.restore(stored)
            return lost

        lost = self.deployment.compute_in_loop(restore)
        time.sleep(_REWRITE_DELAY_SECONDS)
        self.deployment.call_in_loop(store.write_again, stored, lost)

    def _drain(self, fault: Fault) -> None:
        name = random.Random(fault.start_seconds).choice(
            [
                target
                for target in self.deployment.targets
                if self._zones[target] == fault.subject
            ],
        )
        self._register(name, 'draining')
        time.sleep(fault.seconds)
        self._register(name)

    def _compact(self, _fault: Fault) -> None:
        self.deployment.call_in_loop(self.deployment.store.compact)

    def _configure(self) -> None:
        team = {'rate_per_s': 0, 'burst': 0, 'home_regions': []}
        keys = [OTHER_KEY] if self._has_other_key else []
        with self._lock:
            self._version += 1
        self.deployment.write(
            'config',
            'main',
            make_configuration(
                self._version,
                rules=[
                    make_rule('/view/'),
                    make_rule('/book/', route_type='non_idempotent'),
                    *(
                        make_rule(f'/extra-{number}/')
                        for number in range(self._extra_routes)
                    ),
                ],
                teams=[
                    {'name': TEAM, 'api_keys': [KEY], **team},
                    {'name': OTHER_TEAM, 'api_keys': keys, **team},
                ],
            ),
        )
