"""Starts a fleet of processes: platform, targets and entry VMs."""

import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

import json5
import urllib3

__all__ = ('EntryVm', 'Fleet', 'name_link', 'wait_until')

CALLER_PORT: Final = 8080
PEER_PORT: Final = 8081
PLATFORM_PORT: Final = 7400
CONTROL_PORT: Final = 7401
_NET_CLAIM_PORT: Final = 7399
_EXAMPLE_NET_PREFIX: Final = '127.1.'
_OPERATOR_TOKEN: Final = 'demo-operator-token'
_START_TIMEOUT_SECONDS: Final = 20.0
_STOP_TIMEOUT_SECONDS: Final = 15.0


class EntryVm(NamedTuple):
    """An entry VM of the fleet: its name, zone and address."""

    name: str
    zone: str
    address: str

    @property
    def url(self) -> str:
        """Return the URL of the VM for callers."""
        return f'http://{self.address}:{CALLER_PORT}'


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_seconds: float = _START_TIMEOUT_SECONDS,
) -> None:
    """Wait until a condition is met; raise TimeoutError after a time limit."""
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'timed out after {timeout_seconds} s: {description}'
            )
        time.sleep(0.05)


class Fleet:
    """The processes of one fleet, in their own loopback network."""

    def __init__(
        self,
        *,
        catalogue: Path,
        vms_per_zone: int = 1,
        relayed: bool = False,
        teams: dict[str, dict[str, float]] | None = None,
    ) -> None:
        """Prepare a fleet for an example catalogue; nothing is started.

        Limits in `teams` replace those of the catalogue.

        In a relayed fleet, traffic from a zone to the platform or to VMs of
        other zones goes through a relay, so that `set_link_modes` can disturb
        it.
        """
        self._relayed = relayed
        self._net_claim, self.net_number = _claim_net()
        self.folder = Path(tempfile.mkdtemp(prefix='toucanhall-'))
        self.catalogue_text = catalogue.read_text().replace(
            _EXAMPLE_NET_PREFIX,
            f'127.{self.net_number}.',
        )
        self.catalogue: dict[str, Any] = json5.loads(self.catalogue_text)
        if teams:
            self.catalogue['teams'] = teams
            self.catalogue_text = json.dumps(self.catalogue)
        self.catalogue_file = self.folder / 'catalogue.jsonc'
        self.catalogue_file.write_text(self.catalogue_text)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=16)
        self.platform = f'http://127.{self.net_number}.200.1:{PLATFORM_PORT}'
        self.vms = tuple(
            EntryVm(
                f'{zone}-{index}',
                zone,
                f'127.{self.net_number}.{100 + number}.{index}',
            )
            for number, zone in enumerate(sorted(self.catalogue['zones']))
            for index in range(1, vms_per_zone + 1)
        )

    def start(self) -> None:
        """Start every process and wait until every entry VM answers."""
        if self._relayed:
            self.start_relay()
        self.start_platform()
        for name in self.catalogue['targets']:
            self.start_target(name)
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            wait_until(partial(self.is_up, vm.url), f'{vm.name} up')

    def start_relay(self) -> None:
        """Start the relay for traffic between zones and to the platform."""
        listeners = [
            (
                f'{local_address}:{port}',
                f'{vm.address}:{port}',
                name_link(zone, vm.zone),
            )
            for zone in self.catalogue['zones']
            for vm in self.vms
            if vm.zone != zone
            for local_address in (self.get_address(zone, vm),)
            for port in (CALLER_PORT, PEER_PORT)
        ]
        platform = self.platform.removeprefix('http://')
        listeners.extend(
            (
                self.get_platform_url(zone).removeprefix('http://'),
                platform,
                name_link(zone, 'platform'),
            )
            for zone in self.catalogue['zones']
        )
        path = self.folder / 'lines.json'
        path.write_text(json.dumps(listeners))
        self._start(
            'relay',
            'standins.relay',
            f'--lines={path}',
            f'--control=127.{self.net_number}.200.1:{CONTROL_PORT}',
        )
        wait_until(lambda: self.set_link_modes({}), 'relay up')

    def set_link_modes(self, modes: dict[str, str]) -> bool:
        """Set modes of links by name; return whether the relay confirmed it.

        The modes are listed in `standins.relay.Relay`.
        """
        address = (f'127.{self.net_number}.200.1', CONTROL_PORT)
        try:
            with socket.create_connection(address, timeout=5) as control:
                control.sendall(json.dumps(modes).encode() + b'\n')
                return control.recv(16) == b'done\n'
        except OSError:
            return False

    def set_zone(self, zone: str, mode: str) -> None:
        """Set the mode of every link of a zone, also that to the platform."""
        others = (*self.catalogue['zones'], 'platform')
        self.set_link_modes(
            {name_link(zone, other): mode for other in others if other != zone}
        )

    def get_address(self, zone: str, vm: EntryVm) -> str:
        """Return the address of a VM for clients in a zone."""
        if not self._relayed or zone == vm.zone:
            return vm.address
        number = sorted(self.catalogue['zones']).index(zone)
        return f'127.{self.net_number}.{150 + number}.{self.vms.index(vm) + 1}'

    def get_platform_url(self, zone: str) -> str:
        """Return the URL of the platform for clients in a zone."""
        if not self._relayed:
            return self.platform
        number = sorted(self.catalogue['zones']).index(zone)
        return f'http://127.{self.net_number}.201.{number + 1}:{PLATFORM_PORT}'

    def start_platform(self) -> None:
        """Start the stand-in for the platform and publish the list of VMs."""
        self._start(
            'platform',
            'standins.platform',
            f'--address=127.{self.net_number}.200.1',
            f'--port={PLATFORM_PORT}',
        )
        wait_until(self._is_platform_up, 'platform up')
        self.publish_vms()

    def start_target(self, name: str) -> None:
        """Start the stand-in for one target."""
        self._start(
            name,
            'standins.target',
            f'--name={name}',
            f'--address={self.catalogue["targets"][name]["address"]}',
            f'--journal={self.folder / name}.journal',
        )

    def start_vm(self, vm: EntryVm) -> None:
        """Write the settings of an entry VM and start it."""
        settings = self.folder / f'{vm.name}.jsonc'
        settings.write_text(json.dumps(self.make_settings(vm)))
        self._start(
            vm.name, 'toucanhall', 'entry', f'--settings={settings}',
        )  # fmt: skip

    def make_settings(self, vm: EntryVm) -> dict[str, Any]:
        """Return the settings of an entry VM."""
        return {
            'vm': vm.name,
            'zone': vm.zone,
            'address': vm.address,
            'caller_port': CALLER_PORT,
            'peer_port': PEER_PORT,
            'platform': self.get_platform_url(vm.zone),
            'secret_variable': 'TOUCANHALL_SECRET',
            'operators': [
                {
                    'name': 'demo',
                    'digest': hashlib.sha256(
                        _OPERATOR_TOKEN.encode()
                    ).hexdigest(),
                    'role': 'administer',
                },
            ],
        }

    def start_bare(self, target: str) -> str:
        """Start a plain proxy to a target and return its URL."""
        listen = f'127.{self.net_number}.202.1:{CALLER_PORT}'
        address = self.catalogue['targets'][target]['address']
        self._start(
            'bare',
            'standins.bare',
            f'--listen={listen}',
            f'--target={address}',
        )
        return f'http://{listen}'

    def publish_vms(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the list of VMs at the platform, with addresses per zone."""
        vms_by_zone = {
            zone: [
                (
                    vm.name,
                    vm.zone,
                    self.get_address(zone, vm),
                    vm.name in leaving,
                )
                for vm in self.vms
            ]
            for zone in self.catalogue['zones']
        }
        self.switch('vms', vms_by_zone)

    def switch(self, name: str, content: object) -> None:
        """Send a control command to the stand-in for the platform."""
        self.http.request(
            'PUT',
            f'{self.platform}/standin/{name}',
            body=json.dumps(content),
        )

    def configure_target(self, name: str, **content: object) -> dict[str, Any]:
        """Set the mode or delay of a target stand-in.

        In the answer, `peak` is the largest number of requests that it has run
        at one time.
        """
        address = self.catalogue['targets'][name]['address']
        response = self.http.request(
            'PUT',
            f'http://{address}/standin/mode',
            body=json.dumps(content),
        )
        return dict(response.json())

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a `toucanhall` command as an operator does."""
        return subprocess.run(
            (sys.executable, '-m', 'toucanhall', *arguments),
            env=self._make_environment(),
            capture_output=True,
            text=True,
            check=False,
            timeout=30,
        )

    def apply(self) -> None:
        """Apply the catalogue and wait until it is in force on every VM."""
        completed = self.run_command(
            'catalogue',
            'apply',
            str(self.catalogue_file),
            f'--at={self.vms[0].url}',
        )
        if completed.returncode:
            raise RuntimeError(
                f'catalogue apply failed: {completed.stdout}{completed.stderr}'
            )
        for vm in self.vms:
            wait_until(partial(self.is_ready, vm.url), f'{vm.name} ready')

    def grant(self, name: str, team: str) -> str:
        """Grant a key with an operator's command and return it."""
        completed = self.run_command(
            'key-grant',
            name,
            f'--team={team}',
            f'--at={self.vms[0].url}',
        )
        if completed.returncode:
            raise RuntimeError(
                f'key-grant failed: {completed.stdout}{completed.stderr}'
            )
        granted: dict[str, Any] = json.loads(completed.stdout)
        return str(granted['key'])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of the fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process of the fleet and wait until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    def read_journals(self) -> list[dict[str, Any]]:
        """Return a journal entry for each request that the targets ran."""
        return [
            json.loads(line)
            for path in sorted(self.folder.glob('*.journal'))
            for line in path.read_text().splitlines()
        ]

    def read_log(self, name: str) -> str:
        """Return the standard output and standard error of a process."""
        return (self.folder / f'{name}.log').read_text()

    def is_up(self, url: str) -> bool:
        """Return whether an entry VM answers health requests."""
        return self._read_health(url) is not None

    def is_ready(self, url: str) -> bool:
        """Return whether an entry VM has a catalogue in force."""
        health = self._read_health(url)
        return bool(health and health['ready'])

    def stop(self) -> None:
        """Kill every process, remove the folder and release the network."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(_STOP_TIMEOUT_SECONDS)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._net_claim.close()

    def _start(self, name: str, module: str, *arguments: str) -> None:
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            (sys.executable, '-m', module, *arguments),
            env=self._make_environment(),
            stdout=log,
            stderr=log,
        )
        log.close()

    def _make_environment(self) -> dict[str, str]:
        return {
            **os.environ,
            'TOUCANHALL_SECRET': 'demo-secret',
            'TOUCANHALL_TOKEN': _OPERATOR_TOKEN,
        }

    def _is_platform_up(self) -> bool:
        try:
            self.http.request('GET', f'{self.platform}/standin/calls')
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _read_health(self, url: str) -> dict[str, Any] | None:
        try:
            response = self.http.request(
                'GET',
                f'{url}/.toucanhall/health',
                timeout=2,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return dict(response.json())


def name_link(zone: str, other: str) -> str:
    """Return the name of the link of two zones, given in either order."""
    return '|'.join(sorted((zone, other)))


def _claim_net() -> tuple[socket.socket, int]:
    # A bound socket keeps the network from fleets of other processes.
    candidates = random.sample(range(2, 250), 100)
    for net_number in candidates:
        claim = socket.socket()
        try:
            claim.bind((f'127.{net_number}.255.1', _NET_CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return claim, net_number
    raise OSError(
        f'none of {len(candidates)} loopback networks is free: '
        f'port {_NET_CLAIM_PORT} is in use on each',
    )
