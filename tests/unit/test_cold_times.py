"""Tests of when targets are cold: a start, entries read again, VMs.

Failure that they guard against: a target that crashes soon after its start and
is back gets its whole share of the load while it is cold.
"""

import pytest

from tests.fleetdata import make_limits, make_target
from toucanhall.fleet.model import Address, Configuration, Service
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.tables import FleetTables
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetRegistry

COLD_SECONDS = 3.0
CRASH_AFTER_SECONDS = 1.3
DOWN_SECONDS = 1.5
HEARTBEAT_SECONDS = 0.5


class Vm:
    """The tables and targets of a VM, on a clock that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.registry = TargetRegistry(
            location=Location('east-a', 'east'),
            regions={'east-a': 'east'},
            limits=make_limits({'east-a': 'east'}),
        )
        self.tables = FleetTables(on_change=self.apply)

    def apply(self, _table):
        self.registry.replace_targets(self.tables.targets, self.now)

    def read(self, number, *targets, now, era=0):
        self.now = now
        self.tables.replace_targets(
            Revision(era, number),
            {target.id: target for target in targets},
            now,
        )

    def change(self, number, now, **changes):
        self.now = now
        self.tables.apply_target_changes(Revision(0, number), changes, now)

    def ask(self, other, now):
        self.now = now
        known = Revisions(0, self.tables.revisions.targets)
        self.tables.apply_snapshot(other.tables.make_snapshot(known, now), now)

    def is_cold(self, now, target='t1'):
        return self.registry.is_cold(target, now)


def make_entry(started_at, revision, **fields):
    return make_target(
        started_at=started_at,
        revision=revision,
        cold_seconds=fields.pop('cold_seconds', COLD_SECONDS),
        **fields,
    )


@pytest.mark.parametrize('is_removed', (False, True))
@pytest.mark.parametrize('down_seconds', (0.2, DOWN_SECONDS, 6.0))
def test_target_that_starts_again_is_cold_for_its_whole_time(
    down_seconds, is_removed
):
    vm = Vm()
    vm.read(1, now=0.0)
    vm.change(2, 1.0, t1=make_entry(1000, 2))
    back_at = 1.0 + CRASH_AFTER_SECONDS + down_seconds
    if is_removed:
        vm.change(3, back_at - 0.1, t1=3)
    vm.change(4, back_at, t1=make_entry(9000, 4))
    assert vm.is_cold(back_at + COLD_SECONDS - 0.01)
    assert not vm.is_cold(back_at + COLD_SECONDS)


def test_target_that_crashes_again_and_again_stays_cold():
    vm = Vm()
    vm.read(1, now=0.0)
    for start in range(10):
        now = start * (CRASH_AFTER_SECONDS + DOWN_SECONDS)
        vm.change(2 + start, now, t1=make_entry(1 + start, 2 + start))
        assert vm.is_cold(now + COLD_SECONDS - 0.01)


def test_target_that_starts_again_under_another_id_is_cold():
    vm = Vm()
    vm.read(1, make_entry(1000, 1), now=0.0)
    vm.change(2, 2.8, t2=make_entry(3800, 2, name='t2'))
    assert vm.is_cold(5.7, 't2')
    assert not vm.is_cold(5.7, 't1')


def test_vm_learns_of_a_start_from_another_vm():
    watcher, vm = Vm(), Vm()
    for found in (watcher, vm):
        found.read(1, make_entry(1000, 1), now=0.0)
    watcher.change(2, 2.8, t1=make_entry(3800, 2))
    vm.ask(watcher, 3.0)
    assert vm.is_cold(5.9)
    assert not vm.is_cold(6.0)


def rewrite(vm, now):
    vm.change(round(now * 100), now, t1=make_entry(
        1000, round(now * 100), sequence=round(now * 100), is_draining=now > 2
    ))  # fmt: skip


def read_again(vm, now):
    vm.read(round(now * 100), make_entry(1000, 1), now=now)


def read_in_a_new_era(vm, now):
    vm.read(1, make_entry(1000, 1), now=now, era=round(now * 100))


def ask_another_vm(vm, now):
    other = Vm()
    other.read(round(now * 100), make_entry(1000, 1), now=now)
    vm.ask(other, now)


def remove_and_register_again(vm, now):
    number = round(now * 100)
    vm.change(number, now, t1=number)
    vm.change(number + 1, now + 0.1, t1=make_entry(1000, number + 1))


def lose_and_find_again(vm, now):
    number = round(now * 100)
    vm.read(number, now=now)
    vm.read(number + 1, make_entry(1000, number + 1), now=now)


@pytest.mark.parametrize(
    'tell_again',
    (
        rewrite,
        read_again,
        read_in_a_new_era,
        ask_another_vm,
        remove_and_register_again,
        lose_and_find_again,
    ),
)
def test_cold_time_does_not_begin_again_without_a_start(tell_again):
    vm = Vm()
    vm.read(1, make_entry(1000, 1), now=0.0)
    for heartbeat in range(1, 20):
        tell_again(vm, heartbeat * HEARTBEAT_SECONDS)
    assert vm.is_cold(COLD_SECONDS - 0.01)
    assert not vm.is_cold(COLD_SECONDS + 0.1)


def test_entry_names_another_cold_time():
    vm = Vm()
    vm.read(1, make_entry(1000, 1), now=0.0)
    vm.change(2, 1.0, t1=make_entry(1000, 2, cold_seconds=0.5))
    assert not vm.is_cold(1.6)
    vm.change(3, 9.0, t1=make_entry(1000, 3, cold_seconds=2.0))
    assert vm.is_cold(10.9)


def test_moved_target_is_cold():
    vm = Vm()
    vm.read(1, make_entry(1000, 1), now=0.0)
    moved = make_entry(1000, 2, address=Address('127.0.0.1', 9001))
    vm.change(2, 5.0, t1=moved)
    assert vm.is_cold(7.9)


def test_return_of_a_zone_shortens_no_cold_time():
    vm = Vm()
    configuration = Configuration(
        version=1,
        hosts={},
        services={'guide': Service('guide', '/health', 1.0, 16.0)},
        teams={},
        keys={},
        limits=None,
    )
    vm.read(1, make_entry(1000, 1), now=0.0)
    vm.registry.set_evacuated_zones(frozenset(('east-a',)), configuration, 0.5)
    vm.registry.set_evacuated_zones(frozenset(), configuration, 1.0)
    assert vm.is_cold(2.9)
    assert not vm.is_cold(3.0)
