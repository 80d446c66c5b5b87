"""A deployment on loopback: store, targets, and VMs as real processes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple, TypeVar

import urllib3
import yaml

from standins.site.documents import (
    HOST,
    KEY,
    make_configuration,
    make_settings,
    make_target_entry,
)
from standins.site.endless import EndlessServer
from standins.site.store import StoreStandin
from standins.site.stranded_vm import MODE_VARIABLE
from standins.site.target import ExecutedRequest, TargetStandin
from toucanhall.observe import events

__all__ = ('Deployment', 'Outcome')

REGIONS_BY_ZONE: Final = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
_ROOT: Final = Path(__file__).parents[2]
_STORE_PORT: Final = 8382
_TARGET_PORT: Final = 9000
_READY_TIMEOUT_SECONDS: Final = 15.0
_POLL_INTERVAL_SECONDS: Final = 0.02
_BYTES_PER_KIB: Final = 1024

Result = TypeVar('Result')


class Outcome(NamedTuple):
    """What a caller received.

    Status 0 means that the connection failed or timed out; `body` is then the
    name of the exception.
    """

    status: int
    headers: Mapping[str, str]
    body: str
    request_id: str
    seconds: float


class Deployment:
    """A store, targets and VMs by name, on a loopback network of their own.

    Addresses are 127.`network_octet`.Z.N. The store and the targets run on a
    thread of this process.
    """

    def __init__(
        self, *, network_octet: int, zones: tuple[str, ...] = ('east-a',)
    ) -> None:
        """Choose the loopback network; `network_octet` is its second octet."""
        self.network_octet = network_octet
        self.zones = zones
        self.targets: dict[str, TargetStandin] = {}
        self.endless_servers: dict[str, EndlessServer] = {}
        self.vms: dict[str, subprocess.Popen[bytes]] = {}
        self.folder = Path(tempfile.mkdtemp(prefix='toucanhall-site-'))
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )
        self._thread.start()
        self.store = self.run_coroutine(_make_store())
        self._http = urllib3.PoolManager(retries=False, maxsize=32)
        self._ips: dict[str, str] = {}
        self._zones_by_target: dict[str, str] = {}
        self._starts: dict[str, int] = {}
        self._restarts: set[asyncio.Task[None]] = set()

    def __enter__(self) -> 'Deployment':
        """Start the store and write a first configuration."""
        self.run_coroutine(self.store.start(self._make_ip(200, 1), _STORE_PORT))
        self.write('config', 'main', make_configuration())
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill every VM process and stop the store and all targets."""
        for process in self.vms.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for restart in tuple(self._restarts):
            self.call_in_loop(restart.cancel)
        self.call_in_loop(self.store.stop)
        for target in self.targets.values():
            self.call_in_loop(target.stop)
        for server in self.endless_servers.values():
            self.call_in_loop(server.stop)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run_coroutine(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine on the thread of the stand-ins; return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            10
        )

    def call_in_loop(
        self, function: Callable[..., object], *arguments: object
    ) -> None:
        """Call a function on the thread of the stand-ins and wait for it."""

        async def run() -> None:  # noqa: RUF029
            function(*arguments)

        self.run_coroutine(run())

    def compute_in_loop(self, function: Callable[[], Result]) -> Result:
        """Call a function on the thread of the stand-ins; return its result."""

        async def run() -> Result:  # noqa: RUF029
            return function()

        return self.run_coroutine(run())

    def write(self, kind: str, name: str, spec: object) -> None:
        """Write an object to the store, as operators and targets do."""
        self.call_in_loop(self.store.put, kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object from the store."""
        self.call_in_loop(self.store.remove, kind, name)

    def add_target(self, name: str, zone: str = 'east-a') -> TargetStandin:
        """Start a target and register it in the store."""
        target = self.run_coroutine(_make_target(name))
        self.targets[name] = target
        self._start_server(name, zone, target)
        return target

    def restart_after_crashes(
        self, name: str, *, seconds: float, **fields: object
    ) -> None:
        """Let a target start again some seconds after each of its crashes.

        `fields` of its entry are changed from its next start on.
        """

        async def restart() -> None:
            await asyncio.sleep(seconds)
            await self.targets[name].start(self._ips[name], _TARGET_PORT)
            self._starts[name] = self._starts.get(name, 1) + 1
            entry = make_target_entry(
                f'{self._ips[name]}:{_TARGET_PORT}',
                self._zones_by_target[name],
                **{'born': self._starts[name], **fields},
            )
            self.store.put('servers', name, entry)

        def begin() -> None:
            task = self._loop.create_task(restart())
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)

        self.targets[name].on_crash = begin

    def list_again(self, name: str, earlier_name: str) -> None:
        """Write the entry that a target had under an earlier name as well."""
        entry = make_target_entry(
            f'{self._ips[name]}:{_TARGET_PORT}', self._zones_by_target[name]
        )
        self.write('servers', earlier_name, entry)

    def list_executed(self, request_id: str) -> list[ExecutedRequest]:
        """Return the runs of a request at all targets."""
        return [
            executed
            for target in self.targets.values()
            for executed in target.executed
            if executed.request_id == request_id
        ]

    def add_endless_target(
        self, name: str, kind: str, *, pause_seconds: float = 0.0
    ) -> EndlessServer:
        """Start and register a target whose answers never end."""
        server = EndlessServer(name=kind, pause_seconds=pause_seconds)
        self.endless_servers[name] = server
        self._start_server(name, 'east-a', server)
        return server

    def read_peak_memory_bytes(self, vm: str) -> int:
        """Return the peak resident memory of a VM."""
        status = Path(f'/proc/{self.vms[vm].pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields['VmHWM'].split()[0]) * _BYTES_PER_KIB

    def register(
        self, name: str, zone: str = 'east-a', **fields: object
    ) -> None:
        """Write the store entry of a target, with some fields changed."""
        address = f'{self._ips[name]}:{_TARGET_PORT}'
        self.write('servers', name, make_target_entry(address, zone, **fields))

    def start_vm(
        self,
        name: str,
        zone: str = 'east-a',
        *,
        store: str = '',
        internal_ports: tuple[int, int] = (7560, 7575),
        can_cut: bool = False,
        build: Path = _ROOT,
    ) -> None:
        """Start a VM as a process; `store` overrides the address it uses.

        VMs with other internal ports do not hear each other. If `can_cut`, the
        links of the VM to its targets can be cut. `build` is the folder of the
        program, if it is not this one.
        """
        number = len(self._ips) + 1
        ip = self._ips.setdefault(
            name,
            self._make_ip(_ZONE_NUMBERS[zone] + 1, number),
        )
        seeds = [f'{self._ips[vm]}:8381' for vm in list(self.vms)[:3]]
        settings = make_settings(
            name,
            ip,
            zone,
            zones=REGIONS_BY_ZONE,
            store=store or f'{self._make_ip(200, 1)}:{_STORE_PORT}',
            seeds=seeds,
        )
        settings['internal_port_range'] = list(internal_ports)
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        program = 'standins.site.stranded_vm' if can_cut else 'toucanhall.edge'
        with (self.folder / f'{name}.log').open('ab') as log:
            self.vms[name] = subprocess.Popen(
                (sys.executable, '-m', program),
                cwd=build,
                env={
                    'PATH': os.environ['PATH'],
                    'TOUCANHALL_BOOT': str(path),
                    MODE_VARIABLE: str(self._get_mode_path(name)),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def replace_vm(self, name: str, zone: str, build: Path) -> None:
        """Stop a VM as planned, then start it by another build."""
        self.signal_vm(name, signal.SIGTERM)
        self.vms[name].wait(_READY_TIMEOUT_SECONDS)
        self.start_vm(name, zone, build=build)
        self.wait_ready(name)

    def cut_targets(self, vm: str, mode: str) -> None:
        """Cut a VM from all targets, in a mode of `stranded_vm`."""
        self._get_mode_path(vm).write_text(mode)

    def wait_ready(self, *names: str) -> None:
        """Wait until the named VMs, or all, report that they are ready."""
        wait_until(
            lambda: all(self.is_ready(name) for name in names or self.vms),
            f'VMs ready: {names or tuple(self.vms)}',
        )

    def wait_watching(self, *names: str) -> None:
        """Wait until the named VMs watch the store."""
        wait_until(
            lambda: all(
                self.find_events(name, events.WATCH_STARTED.number)
                for name in names
            ),
            f'VMs watch the store: {names}',
        )

    def is_ready(self, name: str) -> bool:
        """Return whether a VM reports that it is ready for requests."""
        url = f'http://{self._ips[name]}:8384/toucanhall/ready'
        try:
            return self._http.request('GET', url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def resolve_addresses(self, vm: str, zone: str) -> list[str]:
        """Return the addresses of VMs that a client in a zone would use.

        The directory of `vm` is asked; the list is empty if it does not answer.
        """
        url = (
            f'http://{self._ips[vm]}:8383/toucanhall/resolve'
            f'?name={HOST}&region={REGIONS_BY_ZONE[zone]}&zone={zone}'
        )
        try:
            response = self._http.request('GET', url, timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return []
        addresses: list[str] = response.json()['addresses']
        return addresses

    def read_metrics(self, vm: str) -> str:
        """Return the metrics of a VM in their text format."""
        url = f'http://{self._ips[vm]}:9464/metrics'
        return self._http.request('GET', url, timeout=1.0).data.decode()

    def get_ip(self, name: str) -> str:
        """Return the IP address of a VM or a target."""
        return self._ips[name]

    def request(
        self,
        vm: str,
        path: str = '/view/1',
        *,
        method: str = 'GET',
        key: str | None = KEY,
        timeout_ms: int = 3000,
        affinity_key: str = '1',
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Outcome:
        """Send one request to a VM; return its outcome, also if it failed."""
        request_id = uuid.uuid4().hex[:16]
        sent_headers = {
            'Host': HOST,
            'X-Toucanhall-Request-Id': request_id,
            'X-Toucanhall-Request-Deadline': str(timeout_ms),
            'Cookie': f'X-Toucanhall-Affinity-Key={affinity_key}',
            **(headers or {}),
        }
        if key is not None:
            sent_headers['Authorization'] = f'Bearer {key}'
        started_at = time.monotonic()
        try:
            response = self._http.request(
                method,
                f'http://{self._ips[vm]}:8388{path}',
                headers=sent_headers,
                body=body,
                timeout=timeout_ms / 1000,
            )
        except urllib3.exceptions.HTTPError as error:
            elapsed = time.monotonic() - started_at
            return Outcome(0, {}, type(error).__name__, request_id, elapsed)
        return Outcome(
            response.status,
            response.headers,
            response.data.decode(),
            request_id,
            time.monotonic() - started_at,
        )

    def signal_vm(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a VM."""
        self.vms[name].send_signal(number)

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a VM, decoded."""
        lines = (self.folder / f'{name}.log').read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def find_events(self, name: str, number: int) -> list[dict[str, Any]]:
        """Return the log lines of a VM with an event number."""
        return [line for line in self.read_log(name) if line['event'] == number]

    def _get_mode_path(self, vm: str) -> Path:
        return self.folder / f'{vm}.mode'

    def _start_server(
        self,
        name: str,
        zone: str,
        server: TargetStandin | EndlessServer,
    ) -> None:
        number = len(self.targets) + len(self.endless_servers)
        ip = self._make_ip(100 + _ZONE_NUMBERS[zone], number)
        self._ips[name] = ip
        self._zones_by_target[name] = zone
        self.run_coroutine(server.start(ip, _TARGET_PORT))
        self.register(name, zone)

    def _make_ip(self, third_octet: int, fourth_octet: int) -> str:
        return f'127.{self.network_octet}.{third_octet}.{fourth_octet}'


def wait_until(
    condition: Callable[[], object],
    description: str,
    timeout_seconds: float = _READY_TIMEOUT_SECONDS,
) -> None:
    """Poll a condition; raise TimeoutError if it is not met in time."""
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'condition not met within {timeout_seconds} s: {description}',
            )
        time.sleep(_POLL_INTERVAL_SECONDS)


async def _make_store() -> StoreStandin:  # noqa: RUF029
    return StoreStandin()


async def _make_target(name: str) -> TargetStandin:  # noqa: RUF029
    return TargetStandin(name=name)


_ZONE_NUMBERS: Final = {
    zone: index for index, zone in enumerate(REGIONS_BY_ZONE)
}
