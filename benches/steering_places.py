"""The two simulated deployments: their regions, services and teams."""

from typing import Final, NamedTuple

from toucanhall.catalogue.model import (
    Catalogue,
    Drains,
    Link,
    Target,
    Team,
    Zone,
)

_CONNECTIONS_PER_TARGET: Final = 800
_MBIT_PER_GBIT: Final = 1000
# Fractions of the load: a few teams are large.
TEAM_LOAD_FRACTIONS: Final = (0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05)


class Service(NamedTuple):
    """A service: its targets, mean request duration and answer size."""

    name: str
    target_count: int
    mean_seconds: float
    answer_bytes: int


class Deployment(NamedTuple):
    """A deployment of one user; latencies are one-way."""

    regions: tuple[str, ...]
    services: tuple[Service, ...]
    slots_per_target: int
    vm_count: int
    zone_latency_seconds: float
    region_latency_seconds: float
    client_latency_seconds: float
    link_mbit_per_second: float


DEPLOYMENTS: Final = {
    'lumina': Deployment(
        regions=('gauteng', 'kzn', 'western-cape'),
        services=(
            Service('guide', 20, 0.08, 4000),
            Service('feed', 16, 0.12, 200000),
        ),
        slots_per_target=9,
        vm_count=22,
        zone_latency_seconds=0.0015,
        region_latency_seconds=0.02,
        client_latency_seconds=0.001,
        link_mbit_per_second=4 * _MBIT_PER_GBIT,
    ),
    'qureshi': Deployment(
        regions=('islamabad', 'karachi', 'lahore'),
        services=(
            Service('desk', 16, 0.06, 8000),
            Service('archive', 12, 0.1, 100000),
        ),
        slots_per_target=3,
        vm_count=22,
        zone_latency_seconds=0.0005,
        region_latency_seconds=0.055,
        client_latency_seconds=0.003,
        link_mbit_per_second=300,
    ),
}


def make_catalogue(deployment: Deployment) -> Catalogue:
    """Return the catalogue of a deployment."""
    zones = [
        Zone(f'{region}-{letter}', region, 1 / len(deployment.regions) / 2)
        for region in deployment.regions
        for letter in 'ab'
    ]
    targets = [
        Target(
            f'{service.name}-{number}',
            zones[number % len(zones)].name,
            service.name,
            '',
            deployment.slots_per_target,
            _CONNECTIONS_PER_TARGET,
        )
        for service in deployment.services
        for number in range(service.target_count)
    ]
    regions = deployment.regions
    return Catalogue(
        zones={zone.name: zone for zone in zones},
        targets={target.name: target for target in targets},
        routes=(),
        teams={
            f'team-{number}': Team(
                f'team-{number}', fraction, fraction, fraction
            )
            for number, fraction in enumerate(TEAM_LOAD_FRACTIONS)
        },
        keys={},
        links=tuple(
            Link((first, second), deployment.link_mbit_per_second)
            for first in regions
            for second in regions
            if first < second
        ),
        drains=Drains(),
        slots_per_zone=12,
        hold_seconds=5,
        key_hold_seconds=14400,
    )
