"""A deployment whose links, programs and store can be struck by faults."""

import random
import signal
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from standins.soak.links import LinkProxy, LinkMode
from standins.soak.invariants import Call
from standins.soak.schedule import Fault, FaultSubjects
from standins.site.deployment import REGIONS_BY_ZONE, Deployment
from standins.site.documents import (
    KEY,
    make_configuration,
    make_rule,
    make_target_entry,
)
from toucanhall.web.messages import Request

__all__ = ('OTHER_KEY', 'OTHER_TEAM', 'TEAM', 'FaultInjector')

TEAM: Final = 'guides'
OTHER_TEAM: Final = 'partners'
OTHER_KEY: Final = 'partner-key'
_VMS_PER_ZONE: Final = 3
_TARGETS_PER_ZONE: Final = 2
_STORE_PORT: Final = 8382
_TARGET_PORT: Final = 9000
_DOWN_SECONDS: Final = 0.5  # the platform starts a process again after that
_SETTLE_SECONDS: Final = 1.0  # a VM that is back has not read its tables yet


class FaultInjector:
    """The deployment of one run, and what is wrong with it at the moment."""

    def __init__(self, *, net: int) -> None:
        """Use the loopback addresses of one network."""
        self.site = Deployment(net=net)
        self._net = net
        self._modes: dict[tuple[str, str], list[str]] = defaultdict(list)
        self._links: dict[tuple[str, str], LinkProxy] = {}
        self._addresses: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._busy: set[str] = set()
        self._unrest: dict[str, list[list[float]]] = defaultdict(list)
        self._lock = threading.Lock()
        self._has_other_key = True
        self._extra_routes = 0
        self.recovery_calls: list[Call] = []
        self._actions: dict[str, Callable[[Fault], None]] = {
            'vm': self._strike_vm,
            'target': self._strike_target,
            'store': self._strike_store,
            'target link': self._strike_link,
            'store link': self._strike_link,
            'change': self._change,
        }
        self._stops: dict[str, Callable[[str, float], None]] = {
            'kill': self._kill,
            'pause': self._pause,
            'terminate': self._terminate,
            'reload': self._reload,
        }
        self._changes: dict[str, Callable[[Fault], None]] = {
            'routes': self._add_route,
            'withdraw': self._withdraw,
            'evacuate': self._evacuate,
            'drain': self._drain,
            'compact': self._compact,
        }

    def start(self) -> FaultSubjects:
        """Start everything; return what may be struck."""
        self.site.__enter__()
        self._configure()
        for zone in REGIONS_BY_ZONE:
            for number in range(_TARGETS_PER_ZONE):
                self._add_target(f'{zone}-target-{number}', zone)
        for zone in REGIONS_BY_ZONE:
            for number in range(_VMS_PER_ZONE):
                self._add_vm(f'{zone}-vm-{number}', zone)
        self.site.wait_ready()
        return FaultSubjects(
            vms=tuple(self.site.vms),
            targets=tuple(self.site.targets),
            zones=tuple(REGIONS_BY_ZONE),
        )

    def stop(self) -> None:
        """End what was started."""
        for link in self._links.values():
            self.site.run_coroutine(link.stop())
        self.site.__exit__()

    def inject(self, fault: Fault) -> None:
        """Let a fault happen, and end it when it is over."""
        self._actions[fault.kind](fault)

    def was_undisturbed(self, vm: str, since: float) -> bool:
        """Whether a VM ran undisturbed from some time until now."""
        with self._lock:
            return all(end < since for _start, end in self._unrest[vm])

    def withdraw_other_key(self) -> None:
        """Withdraw the key of the other team."""
        self._has_other_key = False
        self._configure()

    def _add_target(self, name: str, zone: str) -> None:
        self.site.add_target(name, zone)
        self._zones[name] = zone
        host = f'127.{self._net}.150.{len(self.site.targets)}'
        self._open('target link', name, self.site.get_ip(name), host)
        self._register(name)

    def _register(self, name: str, state: str = 'ready') -> None:
        entry = make_target_entry(
            self._addresses[name],
            self._zones[name],
            state=state,
        )
        self.site.write('servers', name, entry)

    def _add_vm(self, name: str, zone: str) -> None:
        self._zones[name] = zone
        host = f'127.{self._net}.160.{len(self.site.vms) + 1}'
        self._open('store link', name, f'127.{self._net}.200.1', host)
        self._start_vm(name)

    def _start_vm(self, name: str) -> None:
        self.site.start_vm(
            name,
            self._zones[name],
            store=self._addresses[name],
        )

    def _open(self, kind: str, name: str, far: str, host: str) -> None:
        port = _STORE_PORT if kind == 'store link' else _TARGET_PORT
        link = LinkProxy(host=far, port=port)
        self.site.run_coroutine(link.start(host, port))
        self._links[kind, name] = link
        self._addresses[name] = f'{host}:{port}'

    def _hold(
        self,
        fault: Fault,
        apply: Callable[[str], None],
    ) -> None:
        """Apply the mode of a fault; then what others that last have set."""
        modes = self._modes[fault.kind, fault.subject]
        modes.append(fault.mode)
        apply(fault.mode)
        time.sleep(fault.seconds)
        modes.remove(fault.mode)
        apply(modes[-1] if modes else 'well')

    def _strike_link(self, fault: Fault) -> None:
        link = self._links[fault.kind, fault.subject]

        def apply(mode: str) -> None:
            found: LinkMode = mode  # type: ignore[assignment]
            self.site.call_in_loop(link.set_mode, found)

        self._hold(fault, apply)

    def _strike_target(self, fault: Fault) -> None:
        target = self.site.targets[fault.subject]

        def apply(mode: str) -> None:
            target.mode = mode

        self._hold(fault, apply)

    def _strike_store(self, fault: Fault) -> None:
        def apply(mode: str) -> None:
            outcome = int(mode) if mode.isdigit() else mode

            def decide(_request: Request) -> int | str | None:
                return None if outcome == 'well' else outcome

            self.site.call_in_loop(self.site.store.set_fault, decide)

        self._hold(fault, apply)

    def _strike_vm(self, fault: Fault) -> None:
        vm = fault.subject
        with self._lock:
            if vm in self._busy:
                return
            self._busy.add(vm)
            unrest = [time.monotonic(), float('inf')]
            self._unrest[vm].append(unrest)
        try:
            self._stops[fault.mode](vm, fault.seconds)
        finally:
            with self._lock:
                unrest[1] = time.monotonic() + _SETTLE_SECONDS
                self._busy.discard(vm)

    def _kill(self, vm: str, _seconds: float) -> None:
        self.site.signal_vm(vm, signal.SIGKILL)
        self._start_again(vm)

    def _terminate(self, vm: str, _seconds: float) -> None:
        self.site.signal_vm(vm, signal.SIGTERM)
        self._start_again(vm)

    def _start_again(self, vm: str) -> None:
        self.site.vms[vm].wait()
        time.sleep(_DOWN_SECONDS)
        self._start_vm(vm)
        self.site.wait_ready(vm)

    def _pause(self, vm: str, seconds: float) -> None:
        self.site.signal_vm(vm, signal.SIGSTOP)
        time.sleep(seconds)
        self.site.signal_vm(vm, signal.SIGCONT)

    def _reload(self, vm: str, _seconds: float) -> None:
        (self.site.folder / f'{vm}.yaml').touch()
        self.site.signal_vm(vm, signal.SIGHUP)

    def _change(self, fault: Fault) -> None:
        self._changes[fault.mode](fault)

    def _add_route(self, _fault: Fault) -> None:
        self._extra_routes += 1
        self._configure()

    def _withdraw(self, fault: Fault) -> None:
        self._has_other_key = False
        self._configure()
        time.sleep(fault.seconds)
        self._has_other_key = True
        self._configure()

    def _evacuate(self, fault: Fault) -> None:
        self.site.write('evacuations', fault.subject, {})
        time.sleep(fault.seconds)
        if fault.subject in self.site.store.objects['evacuations']:
            self.site.remove('evacuations', fault.subject)

    def _drain(self, fault: Fault) -> None:
        name = random.choice(
            [
                target
                for target in self.site.targets
                if self._zones[target] == fault.subject
            ],
        )
        self._register(name, 'draining')
        time.sleep(fault.seconds)
        self._register(name)

    def _compact(self, _fault: Fault) -> None:
        self.site.call_in_loop(self.site.store.compact)

    def _configure(self) -> None:
        team = {'rate_per_s': 0, 'burst': 0, 'home_regions': []}
        keys = [OTHER_KEY] if self._has_other_key else []
        self.site.write(
            'config',
            'main',
            make_configuration(
                self.site.store.revision,
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
