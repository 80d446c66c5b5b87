"""What happens to the fleet: one function per scenario."""

from collections.abc import Callable
from typing import Final, NamedTuple

from benches.steering_fleet import Fleet, Vm
from toucanhall.catalogue.model import Drains

_SHARE_OF_TARGETS: Final = 5
_VMS_REPLACED: Final = 0.3
_LINGER: Final = 6.0
_CUT_SECONDS: Final = 4.0
_COLD: Final = 30


class Scenario(NamedTuple):
    """The load as a share of the slots, and the event."""

    load: float
    strike: Callable[[Fleet], None]


def keep_steady(fleet: Fleet) -> None:
    """Change nothing."""


def pull(fleet: Fleet) -> None:
    """Move most of one service's callers to one region."""
    service = fleet.deployment.services[-1].name
    region = fleet.deployment.regions[0]
    for zone, entry in fleet.catalogue.zones.items():
        factor = 1.8 if entry.region == region else 0.6
        fleet.zone_factors[service, zone] = factor


def surge(fleet: Fleet) -> None:
    """Let the largest team send five times its rate."""
    fleet.factors['team-0'] = 5


def lose_zone(fleet: Fleet) -> None:
    """Lose one zone, its VMs and its targets."""
    _lose(fleet, frozenset((next(iter(fleet.catalogue.zones)),)))


def lose_region(fleet: Fleet) -> None:
    """Lose one region."""
    region = fleet.deployment.regions[0]
    _lose(
        fleet,
        frozenset(
            name
            for name, zone in fleet.catalogue.zones.items()
            if zone.region == region
        ),
    )


def _lose(fleet: Fleet, zones: frozenset[str]) -> None:
    for target in fleet.targets.values():
        if target.entry.zone in zones:
            target.mode = 'dead'
    for vm in fleet.vms.values():
        if vm.zone in zones:
            _stop(fleet, vm)


def _stop(fleet: Fleet, vm: Vm) -> None:
    if vm.died is None:
        vm.died = fleet.clock.now
        vm.policy.fail_all()


def cut(fleet: Fleet) -> None:
    """Cut one region off and heal it later."""
    region = fleet.deployment.regions[0]
    fleet.cut = frozenset(
        name
        for name, zone in fleet.catalogue.zones.items()
        if zone.region == region
    )
    fleet.clock.at(_CUT_SECONDS, setattr, fleet, 'cut', frozenset())


def drain(fleet: Fleet) -> None:
    """Drain one zone; each VM hears of it within a second."""
    zone = next(iter(fleet.catalogue.zones))
    fleet.drained = zone
    fleet.drained_at = fleet.clock.now
    changed = fleet.catalogue._replace(drains=Drains(zones=frozenset((zone,))))
    for vm in fleet.vms.values():
        fleet.clock.at(
            fleet.rng.uniform(0.1, 1), setattr, vm, 'catalogue', changed,
        )  # fmt: skip


def cool(fleet: Fleet) -> None:
    """Drain one zone while the targets that follow are cold."""
    drain(fleet)
    region = fleet.deployment.regions[0]
    for target in fleet.targets.values():
        zone = fleet.catalogue.zones[target.entry.zone]
        if zone.region == region:
            target.cold = _COLD


def change_reports(how: str) -> Callable[[Fleet], None]:
    """Return what makes reports stop, lag or lie; a fifth turns slow."""

    def strike(fleet: Fleet) -> None:
        for target in fleet.targets.values():
            target.first_report = target.running / target.entry.slots
        fleet.reports = how
        _misbehave('slow')(fleet)

    return strike


def _misbehave(mode: str) -> Callable[[Fleet], None]:
    def strike(fleet: Fleet) -> None:
        for number, target in enumerate(fleet.targets.values()):
            if number % _SHARE_OF_TARGETS == 0:
                target.mode = mode

    return strike


def replace_vms(fleet: Fleet) -> None:
    """Replace a part of the VMs; each leaves with its linger time."""
    count = round(len(fleet.vms) * _VMS_REPLACED)
    for number, vm in enumerate(tuple(fleet.vms.values())[:count]):
        vm.is_leaving = True
        fleet.clock.at(_LINGER, _stop, fleet, vm)
        fresh = Vm(
            name=f'fresh-{number}',
            zone=vm.zone,
            catalogue=fleet.catalogue,
            born=fleet.clock.now,
        )
        fleet.vms[fresh.name] = fresh
        fleet.start_vm(fresh)


SCENARIOS: Final = {
    'steady': Scenario(0.7, keep_steady),
    'morning-pull': Scenario(0.7, pull),
    'surge': Scenario(0.7, surge),
    'zone-lost': Scenario(0.6, lose_zone),
    'region-lost': Scenario(0.6, lose_region),
    'cut-and-healed': Scenario(0.7, cut),
    'drain': Scenario(0.7, drain),
    'cold': Scenario(0.6, cool),
    'reports-stopped': Scenario(0.6, change_reports('stopped')),
    'reports-late': Scenario(0.6, change_reports('late')),
    'reports-lying': Scenario(0.6, change_reports('lying')),
    'errors-fast': Scenario(0.6, _misbehave('error')),
    'silent': Scenario(0.6, _misbehave('silent')),
    'vms-replaced': Scenario(0.7, replace_vms),
}
