"""The two deployments of today: their places, services and teams."""

from typing import Final, NamedTuple

from toucanhall.catalogue.model import (
    Catalogue,
    Drains,
    Link,
    Target,
    Team,
    Zone,
)

_CONNECTIONS: Final = 800
_MBIT_PER_GBIT: Final = 1000
# Parts of the load: a few teams are large.
TEAM_SHARES: Final = (0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05)


class Service(NamedTuple):
    """A service: how many targets, its mean seconds and answer bytes."""

    name: str
    targets: int
    seconds: float
    size: int


class Deployment(NamedTuple):
    """One user's deployment; latencies are one way, in seconds."""

    regions: tuple[str, ...]
    services: tuple[Service, ...]
    slots: int
    vms: int
    zone_latency: float
    region_latency: float
    client_latency: float
    link_mbit: float


DEPLOYMENTS: Final = {
    'lumina': Deployment(
        regions=('gauteng', 'kzn', 'western-cape'),
        services=(
            Service('guide', 20, 0.08, 4000),
            Service('feed', 16, 0.12, 200000),
        ),
        slots=9,
        vms=22,
        zone_latency=0.0015,
        region_latency=0.02,
        client_latency=0.001,
        link_mbit=4 * _MBIT_PER_GBIT,
    ),
    'qureshi': Deployment(
        regions=('islamabad', 'karachi', 'lahore'),
        services=(
            Service('desk', 16, 0.06, 8000),
            Service('archive', 12, 0.1, 100000),
        ),
        slots=3,
        vms=22,
        zone_latency=0.0005,
        region_latency=0.055,
        client_latency=0.003,
        link_mbit=300,
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
            deployment.slots,
            _CONNECTIONS,
        )
        for service in deployment.services
        for number in range(service.targets)
    ]
    regions = deployment.regions
    return Catalogue(
        zones={zone.name: zone for zone in zones},
        targets={target.name: target for target in targets},
        routes=(),
        teams={
            f'team-{number}': Team(f'team-{number}', share, share, share)
            for number, share in enumerate(TEAM_SHARES)
        },
        keys={},
        links=tuple(
            Link((near, far), deployment.link_mbit)
            for near in regions
            for far in regions
            if near < far
        ),
        drains=Drains(),
        slots_per_zone=12,
        hold_seconds=5,
        key_hold_seconds=14400,
    )
