"""The events that occur in the simulated fleet, one per scenario."""

from collections.abc import Callable
from typing import Final, NamedTuple

from benches.steering_fleet import Fleet, Vm
from toucanhall.catalogue.model import Drains

_DEGRADED_TARGET_INTERVAL: Final = 5  # one of five targets
_REPLACED_VM_FRACTION: Final = 0.3
_LINGER_SECONDS: Final = 6.0
_PARTITION_SECONDS: Final = 4.0
_COLD_REQUESTS: Final = 30


class Scenario(NamedTuple):
    """The load as a fraction of the slots, and the function of the event."""

    load: float
    apply: Callable[[Fleet], None]


def keep_unchanged(fleet: Fleet) -> None:
    """Change nothing."""


def concentrate_callers(fleet: Fleet) -> None:
    """Move most of the load of one service to one region."""
    service = fleet.deployment.services[-1].name
    region = fleet.deployment.regions[0]
    for zone, entry in fleet.catalogue.zones.items():
        factor = 1.8 if entry.region == region else 0.6
        fleet.zone_load_factors[service, zone] = factor


def surge_team(fleet: Fleet) -> None:
    """Multiply the rate of the largest team by five."""
    fleet.team_load_factors['team-0'] = 5


def fail_zone(fleet: Fleet) -> None:
    """Stop the VMs and targets of one zone."""
    _fail_zones(fleet, frozenset((next(iter(fleet.catalogue.zones)),)))


def fail_region(fleet: Fleet) -> None:
    """Stop the VMs and targets of one region."""
    region = fleet.deployment.regions[0]
    _fail_zones(
        fleet,
        frozenset(
            name
            for name, zone in fleet.catalogue.zones.items()
            if zone.region == region
        ),
    )


def _fail_zones(fleet: Fleet, zones: frozenset[str]) -> None:
    for target in fleet.targets.values():
        if target.entry.zone in zones:
            target.mode = 'dead'
    for vm in fleet.vms.values():
        if vm.zone in zones:
            _stop_vm(fleet, vm)


def _stop_vm(fleet: Fleet, vm: Vm) -> None:
    if vm.stopped_at is None:
        vm.stopped_at = fleet.clock.now
        vm.policy.fail_all()


def partition_region(fleet: Fleet) -> None:
    """Partition one region from the others for some seconds."""
    region = fleet.deployment.regions[0]
    fleet.partitioned_zones = frozenset(
        name
        for name, zone in fleet.catalogue.zones.items()
        if zone.region == region
    )
    fleet.clock.call_later(
        _PARTITION_SECONDS, setattr, fleet, 'partitioned_zones', frozenset()
    )


def drain_zone(fleet: Fleet) -> None:
    """Drain one zone; each VM receives the change within a second."""
    zone = next(iter(fleet.catalogue.zones))
    fleet.drained_zone = zone
    fleet.drained_at = fleet.clock.now
    changed = fleet.catalogue._replace(drains=Drains(zones=frozenset((zone,))))
    for vm in fleet.vms.values():
        fleet.clock.call_later(
            fleet.rng.uniform(0.1, 1), setattr, vm, 'catalogue', changed,
        )  # fmt: skip


def drain_to_cold_targets(fleet: Fleet) -> None:
    """Drain one zone while the targets of the first region are cold."""
    drain_zone(fleet)
    region = fleet.deployment.regions[0]
    for target in fleet.targets.values():
        zone = fleet.catalogue.zones[target.entry.zone]
        if zone.region == region:
            target.cold_requests = _COLD_REQUESTS


def change_reports(mode: str) -> Callable[[Fleet], None]:
    """Return an event that sets the report mode and slows some targets."""

    def apply_event(fleet: Fleet) -> None:
        for target in fleet.targets.values():
            target.load_before_event = target.running / target.entry.slots
        fleet.report_mode = mode
        _degrade_targets('slow')(fleet)

    return apply_event


def _degrade_targets(mode: str) -> Callable[[Fleet], None]:
    def apply_event(fleet: Fleet) -> None:
        for number, target in enumerate(fleet.targets.values()):
            if number % _DEGRADED_TARGET_INTERVAL == 0:
                target.mode = mode

    return apply_event


def replace_vms(fleet: Fleet) -> None:
    """Replace some VMs; each old VM leaves and stops after lingering."""
    count = round(len(fleet.vms) * _REPLACED_VM_FRACTION)
    for number, vm in enumerate(tuple(fleet.vms.values())[:count]):
        vm.is_leaving = True
        fleet.clock.call_later(_LINGER_SECONDS, _stop_vm, fleet, vm)
        replacement = Vm(
            name=f'fresh-{number}',
            zone=vm.zone,
            catalogue=fleet.catalogue,
            started_at=fleet.clock.now,
        )
        fleet.vms[replacement.name] = replacement
        fleet.start_vm(replacement)


SCENARIOS: Final = {
    'steady': Scenario(0.7, keep_unchanged),
    'morning-pull': Scenario(0.7, concentrate_callers),
    'surge': Scenario(0.7, surge_team),
    'zone-lost': Scenario(0.6, fail_zone),
    'region-lost': Scenario(0.6, fail_region),
    'cut-and-healed': Scenario(0.7, partition_region),
    'drain': Scenario(0.7, drain_zone),
    'cold': Scenario(0.6, drain_to_cold_targets),
    'reports-stopped': Scenario(0.6, change_reports('stopped')),
    'reports-late': Scenario(0.6, change_reports('late')),
    'reports-lying': Scenario(0.6, change_reports('lying')),
    'errors-fast': Scenario(0.6, _degrade_targets('error')),
    'silent': Scenario(0.6, _degrade_targets('silent')),
    'vms-replaced': Scenario(0.7, replace_vms),
}
