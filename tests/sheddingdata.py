"""Builders of load shedding for a service of two targets."""

from tests.fleetdata import make_limits, make_target
from toucanhall.edge.load_shedding import LoadShedding
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.response_times import ResponseTimes

__all__ = ('QUERY', 'make_shedding')

QUERY = TargetQuery('guide', 'object-1', frozenset(), frozenset())


def make_shedding(percent=100, vms=1, *, has_large_bodies=False):
    """Return load shedding of one of `vms` VMs, and its targets."""
    registry = TargetRegistry(
        location=Location('east-a', 'east'),
        regions={'east-a': 'east'},
        limits=make_limits({'east-a': 'east'}),
    )
    registry.replace_targets(
        {name: make_target(name) for name in ('t1', 't2')}, -100.0
    )
    names = tuple(f'vm-{index}' for index in range(vms))
    registry.set_vm_groups('vm-0', {'east-a': VmGroup(names, vms, vms)})
    for load in registry.loads.values():
        load.record_reported_load(0, 0.0, percent)
    registry.has_large_bodies = has_large_bodies
    shedding = LoadShedding(
        registry=registry,
        response_times=ResponseTimes(),
        phase=0.0,
    )
    return shedding, registry
