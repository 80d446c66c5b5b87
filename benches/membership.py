"""Traffic, processor time and detection of membership, by size of a zone.

Runs the decisions of every VM of one zone and its frames, in virtual time and
in one process; the cost of a send and a receive is measured apart, on loopback.
Two ways are compared: every VM to every other each second, and the ring.
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

_SIZES: Final = (4, 8, 16, 32, 62)
_ZONES: Final = 72
_FAR_LISTED: Final = 2  # VMs of each other zone in the list
_SECONDS: Final = 40
_STOPS_AT: Final = 15
_SECRET: Final = b'bench'
_OWN: Final = 'zone-00'
_TCP_BYTES: Final = 66  # headers of a segment that carries a frame


class Way(NamedTuple):
    """A way of choosing contacts, and whether heartbeats carry rows."""

    select: Callable[..., Any]
    with_rows: bool


class Totals:
    """What the VMs of the zone sent and spent."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.sent = 0
        self.size = 0
        self.seconds = 0.0
        self.detected: list[int] = []
        self.wrong = 0


def select_all(
    view: View, _vm: str, zone: str, _turn: int, _now: float,
) -> tuple[Any, ...]:  # fmt: skip
    """Return every VM of the zone and two of every other one."""
    return tuple(view.members.values())


WAYS: Final = {
    'mesh': Way(select_all, with_rows=False),
    'ring': Way(select_contacts, with_rows=True),
}


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print a line of JSON at its end."""
    parser = argparse.ArgumentParser(prog='bench membership')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    wire = measure_wire()
    print(f'send and receive on loopback: {wire * 1e6:.0f} us a message')
    result: dict[str, Any] = {'wire_us': round(wire * 1e6, 1)}
    for name, way in WAYS.items():
        found = [
            measure(way, size, wire, random.Random(options.seed))
            for size in _SIZES
        ]
        for size, row in zip(_SIZES, found):
            print(f'{name} {size:>2} VMs: {row}', flush=True)
        result[name] = {
            'at_62': found[-1],
            'slope_per_vm': {
                key: round(
                    (found[-1][key] - found[0][key])
                    / (_SIZES[-1] - _SIZES[0]), 4,
                )
                for key in ('messages_s', 'bytes_s', 'core_percent')
            },
        }  # fmt: skip
    print(json.dumps(result))
    return 0


def measure_wire() -> float:
    """Return the processor seconds of one message, sent and received."""
    count = 4000
    with pynng.Pull0(listen='tcp://127.0.0.1:0') as pull:
        port = pull.listeners[0].local_address.port
        address = f'tcp://127.0.0.1:{socket_port(port)}'
        with pynng.Push0(dial=address) as push:
            frame = bytes(1500)
            push.send(frame)
            pull.recv()
            started = time.process_time()
            for _ in range(count):
                push.send(frame)
                pull.recv()
            return (time.process_time() - started) / count


def socket_port(port: int) -> int:
    """Return a port number from network byte order."""
    return int.from_bytes(port.to_bytes(2, 'big'), 'little')


def measure(
    way: Way, size: int, wire: float, chance: random.Random,
) -> dict[str, Any]:  # fmt: skip
    """Run one zone for a while, one of its VMs stops halfway."""
    vms = [f'{_OWN}-{index:02}' for index in range(size)]
    listed = make_list(vms)
    views = {
        vm: set_patience(merge_list(View({}, {}), listed, vm, 0), _OWN)
        for vm in vms
    }
    offsets = {vm: chance.randrange(100) for vm in vms}
    totals = Totals()
    detected: dict[str, int] = {}
    stopped = vms[-1]
    for now in range(_SECONDS):
        for vm in vms:
            if vm != stopped or now < _STOPS_AT:
                beat(way, views, vm, now, offsets[vm] + now, totals)
        for vm in vms[:-1]:
            note_health(views[vm], vm, stopped, now, detected, totals)
    beats = (size - 1) * _SECONDS + _STOPS_AT
    waits = [since - _STOPS_AT for since in detected.values()]
    return {
        'messages_s': round(totals.sent / beats, 2),
        'bytes_s': round(totals.size / beats),
        'core_percent': round(
            100 * (totals.seconds + totals.sent * wire) / beats, 3,
        ),
        'detection_s': round(statistics.median(waits)) if waits else None,
        'detection_worst_s': max(waits, default=None),
        'undetected': size - 1 - len(waits),
        'wrongly_suspected': totals.wrong,
    }  # fmt: skip


def make_list(vms: list[str]) -> tuple[Listed, ...]:
    """Return the platform's list: the zone, and some VMs of the others."""
    others = [
        (f'zone-{zone:02}-{index:02}', f'zone-{zone:02}')
        for zone in range(1, _ZONES)
        for index in range(_FAR_LISTED)
    ]
    entries = [*((vm, _OWN) for vm in vms), *others]
    return tuple(
        Listed(vm, zone, f'127.9.{number // 250}.{number % 250}', False)
        for number, (vm, zone) in enumerate(entries)
    )


def beat(
    way: Way, views: dict[str, View], vm: str, now: int, turn: int,
    totals: Totals,
) -> None:  # fmt: skip
    """Send the heartbeats of one VM and let the VMs of its zone hear them."""
    started = time.process_time()
    confirmed = dict.fromkeys((f'zone-{zone:02}' for zone in range(72)), 9)
    heard: dict[str, bytes] = {}
    for member in way.select(views[vm], vm, _OWN, turn, now):
        is_near = member.zone == _OWN
        rows = (
            list_rows(views[vm], _OWN, turn, now, is_near=is_near)
            if way.with_rows
            else ()
        )
        sample = sample_confirmed(confirmed, _OWN, turn)
        heartbeat = Heartbeat(
            _OWN, '127.9.0.1', now + 1, False, 9, sample, rows,
        )  # fmt: skip
        frame = seal(_SECRET, vm, 'start-of-24-hex-digits--', heartbeat)
        totals.sent += 1
        totals.size += len(frame) + _TCP_BYTES
        if is_near:
            heard[member.vm] = frame
        else:
            # As many heartbeats come from other zones as go there.
            unseal(_SECRET, frame)
    for receiver, frame in heard.items():
        take(views, receiver, vm, frame, now)
    totals.seconds += time.process_time() - started


def take(
    views: dict[str, View], receiver: str, vm: str, frame: bytes, now: int,
) -> None:  # fmt: skip
    """Let a VM take a frame."""
    envelope = unseal(_SECRET, frame).unwrap()
    heartbeat = envelope_body(envelope.body)
    views[receiver] = hear(
        views[receiver], vm, envelope.start, heartbeat, now,
    )  # fmt: skip


def envelope_body(body: Any) -> Heartbeat:
    """Return the heartbeat of a frame."""
    return msgspec.msgpack.decode(body, type=Heartbeat)


def note_health(
    view: View, vm: str, stopped: str, now: int, detected: dict[str, int],
    totals: Totals,
) -> None:  # fmt: skip
    """Note when the stopped VM is suspected, and who is wrongly."""
    for member in view.members.values():
        if assess(member, now) is not Health.SUSPECTED:
            continue
        if member.vm == stopped:
            detected.setdefault(vm, now)
        elif member.zone == _OWN:
            totals.wrong += 1
