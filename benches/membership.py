"""Traffic, processor time and failure detection of the membership protocol.

Simulates every VM of one zone and its frames in virtual time, in one process.
The cost of sending and receiving a frame is measured separately on loopback.
Compares the ring with a mesh, in which every VM sends to every other each
second, by the number of VMs in the zone.
"""

import argparse
import json
import random
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

import msgspec
import pynng

from toucanhall.membership.contacts import select_contacts
from toucanhall.membership.digest import (
    list_rows,
    sample_confirmed,
    set_patience,
)
from toucanhall.membership.messages import Heartbeat
from toucanhall.membership.view import Health, View, assess, hear, merge_list
from toucanhall.objectstore import Listed
from toucanhall.transport import seal, unseal

_VM_COUNTS: Final = (4, 8, 16, 32, 62)
_ZONE_COUNT: Final = 72
_LISTED_VMS_PER_REMOTE_ZONE: Final = 2
_DURATION_SECONDS: Final = 40
_STOP_AT_SECONDS: Final = 15
_SECRET: Final = b'bench'
_LOCAL_ZONE: Final = 'zone-00'
_TCP_HEADER_BYTES: Final = 66  # all headers of a segment with a frame


class Topology(NamedTuple):
    """How contacts are selected, and whether heartbeats include rows."""

    select: Callable[..., Any]
    includes_rows: bool


class Totals:
    """Counts of the messages, traffic and processor time of the zone."""

    def __init__(self) -> None:
        """Start all counts at zero."""
        self.sent_messages = 0
        self.sent_bytes = 0
        self.cpu_seconds = 0.0
        self.detected_at: list[int] = []
        self.false_suspicions = 0


def select_all(
    view: View, _vm: str, zone: str, _turn: int, _now: float,
) -> tuple[Any, ...]:  # fmt: skip
    """Return all VMs that the view contains."""
    return tuple(view.members.values())


TOPOLOGIES: Final = {
    'mesh': Topology(select_all, includes_rows=False),
    'ring': Topology(select_contacts, includes_rows=True),
}


def main(arguments: Sequence[str]) -> int:
    """Run the benchmark and print its result as a line of JSON."""
    parser = argparse.ArgumentParser(prog='bench membership')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    seconds_per_message = measure_message_seconds()
    print(
        f'send and receive on loopback: '
        f'{seconds_per_message * 1e6:.0f} us a message',
    )
    result: dict[str, Any] = {'wire_us': round(seconds_per_message * 1e6, 1)}
    for name, topology in TOPOLOGIES.items():
        measurements = [
            measure(
                topology,
                vm_count,
                seconds_per_message,
                random.Random(options.seed),
            )
            for vm_count in _VM_COUNTS
        ]
        for vm_count, row in zip(_VM_COUNTS, measurements):
            print(f'{name} {vm_count:>2} VMs: {row}', flush=True)
        result[name] = {
            'at_62': measurements[-1],
            'slope_per_vm': {
                key: round(
                    (measurements[-1][key] - measurements[0][key])
                    / (_VM_COUNTS[-1] - _VM_COUNTS[0]), 4,
                )
                for key in ('messages_s', 'bytes_s', 'core_percent')
            },
        }  # fmt: skip
    print(json.dumps(result))
    return 0


def measure_message_seconds() -> float:
    """Return the processor time of sending and receiving one message."""
    count = 4000
    with pynng.Pull0(listen='tcp://127.0.0.1:0') as pull:
        port = pull.listeners[0].local_address.port
        address = f'tcp://127.0.0.1:{swap_port_bytes(port)}'
        with pynng.Push0(dial=address) as push:
            frame = bytes(1500)
            push.send(frame)
            pull.recv()
            started_at = time.process_time()
            for _ in range(count):
                push.send(frame)
                pull.recv()
            return (time.process_time() - started_at) / count


def swap_port_bytes(port: int) -> int:
    """Convert a port number from network byte order."""
    return int.from_bytes(port.to_bytes(2, 'big'), 'little')


def measure(
    topology: Topology,
    vm_count: int,
    seconds_per_message: float,
    rng: random.Random,
) -> dict[str, Any]:
    """Simulate one zone, in which one VM stops after a while."""
    vms = [f'{_LOCAL_ZONE}-{index:02}' for index in range(vm_count)]
    listed = make_vm_list(vms)
    views = {
        vm: set_patience(merge_list(View({}, {}), listed, vm, 0), _LOCAL_ZONE)
        for vm in vms
    }
    offsets = {vm: rng.randrange(100) for vm in vms}
    totals = Totals()
    detected_at: dict[str, int] = {}
    stopped_vm = vms[-1]
    for now in range(_DURATION_SECONDS):
        for vm in vms:
            if vm != stopped_vm or now < _STOP_AT_SECONDS:
                send_heartbeats(
                    topology, views, vm, now, offsets[vm] + now, totals
                )
        for vm in vms[:-1]:
            record_suspicions(
                views[vm], vm, stopped_vm, now, detected_at, totals
            )
    running_vm_seconds = (vm_count - 1) * _DURATION_SECONDS + _STOP_AT_SECONDS
    detection_seconds = [
        suspected_at - _STOP_AT_SECONDS for suspected_at in detected_at.values()
    ]
    return {
        'messages_s': round(totals.sent_messages / running_vm_seconds, 2),
        'bytes_s': round(totals.sent_bytes / running_vm_seconds),
        'core_percent': round(
            100
            * (totals.cpu_seconds + totals.sent_messages * seconds_per_message)
            / running_vm_seconds,
            3,
        ),
        'detection_s': (
            round(statistics.median(detection_seconds))
            if detection_seconds
            else None
        ),
        'detection_worst_s': max(detection_seconds, default=None),
        'undetected': vm_count - 1 - len(detection_seconds),
        'wrongly_suspected': totals.false_suspicions,
    }  # fmt: skip


def make_vm_list(vms: list[str]) -> tuple[Listed, ...]:
    """Return the platform's list: the zone's VMs and some of other zones."""
    remote_vms = [
        (f'zone-{zone:02}-{index:02}', f'zone-{zone:02}')
        for zone in range(1, _ZONE_COUNT)
        for index in range(_LISTED_VMS_PER_REMOTE_ZONE)
    ]
    entries = [*((vm, _LOCAL_ZONE) for vm in vms), *remote_vms]
    return tuple(
        Listed(vm, zone, f'127.9.{number // 250}.{number % 250}', False)
        for number, (vm, zone) in enumerate(entries)
    )


def send_heartbeats(
    topology: Topology, views: dict[str, View], vm: str, now: int, turn: int,
    totals: Totals,
) -> None:  # fmt: skip
    """Send the heartbeats of one VM and deliver them within its zone."""
    started_at = time.process_time()
    confirmed = dict.fromkeys((f'zone-{zone:02}' for zone in range(72)), 9)
    frames_by_receiver: dict[str, bytes] = {}
    for member in topology.select(views[vm], vm, _LOCAL_ZONE, turn, now):
        is_local = member.zone == _LOCAL_ZONE
        rows = (
            list_rows(views[vm], _LOCAL_ZONE, turn, now, is_near=is_local)
            if topology.includes_rows
            else ()
        )
        sample = sample_confirmed(confirmed, _LOCAL_ZONE, turn)
        heartbeat = Heartbeat(
            _LOCAL_ZONE, '127.9.0.1', now + 1, False, 9, sample, rows,
        )  # fmt: skip
        frame = seal(_SECRET, vm, 'start-of-24-hex-digits--', heartbeat)
        totals.sent_messages += 1
        totals.sent_bytes += len(frame) + _TCP_HEADER_BYTES
        if is_local:
            frames_by_receiver[member.vm] = frame
        else:
            # Counts the cost of a received heartbeat: as many come from
            # other zones as are sent there.
            unseal(_SECRET, frame)
    for receiver, frame in frames_by_receiver.items():
        receive_heartbeat(views, receiver, vm, frame, now)
    totals.cpu_seconds += time.process_time() - started_at


def receive_heartbeat(
    views: dict[str, View], receiver: str, vm: str, frame: bytes, now: int,
) -> None:  # fmt: skip
    """Decode a heartbeat frame and apply it to the view of its receiver."""
    envelope = unseal(_SECRET, frame).unwrap()
    heartbeat = decode_heartbeat(envelope.body)
    views[receiver] = hear(
        views[receiver], vm, envelope.start, heartbeat, now,
    )  # fmt: skip


def decode_heartbeat(body: Any) -> Heartbeat:
    """Decode the heartbeat in the body of an envelope."""
    return msgspec.msgpack.decode(body, type=Heartbeat)


def record_suspicions(
    view: View, vm: str, stopped_vm: str, now: int, detected_at: dict[str, int],
    totals: Totals,
) -> None:  # fmt: skip
    """Record when the stopped VM is first suspected; count false ones."""
    for member in view.members.values():
        if assess(member, now) is not Health.SUSPECTED:
            continue
        if member.vm == stopped_vm:
            detected_at.setdefault(vm, now)
        elif member.zone == _LOCAL_ZONE:
            totals.false_suspicions += 1
