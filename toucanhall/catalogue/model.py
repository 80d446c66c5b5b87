"""Immutable records of the catalogue."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

__all__ = (
    'Catalogue',
    'Drains',
    'Key',
    'Link',
    'Revision',
    'Route',
    'Target',
    'Team',
    'Zone',
)


class Zone(NamedTuple):
    """An availability zone: its region and its share of every limit."""

    name: str
    region: str
    fraction: float


class Target(NamedTuple):
    """A target: its zone, service, `host:port` and capacity."""

    name: str
    zone: str
    service: str
    address: str
    slots: int
    connections: int


class Route(NamedTuple):
    """A path prefix, its owner, and how its requests are handled."""

    path: str
    owner: str
    service: str
    kind: str
    public: bool
    deadline_seconds: float


class Team(NamedTuple):
    """A team: its rate in requests/s, its burst and its weight."""

    name: str
    rate: float
    burst: float
    weight: float


class Key(NamedTuple):
    """A granted key; only its SHA-256 digest is stored."""

    name: str
    team: str
    digest: str


class Link(NamedTuple):
    """A link between two regions, and its capacity in each direction."""

    regions: tuple[str, str]
    capacity_mbit_per_second: float


class Drains(NamedTuple):
    """Names of targets, VMs and zones that get no new work."""

    targets: frozenset[str] = frozenset()
    vms: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


class Catalogue(NamedTuple):
    """A catalogue; mappings are by name, but `keys` by digest.

    `shift_share` is the fraction of a zone's slots by which the traffic from
    other zones may grow per second. `blocks` maps prefixes of client addresses
    to the nearest zone.
    """

    zones: Mapping[str, Zone]
    targets: Mapping[str, Target]
    routes: tuple[Route, ...]
    teams: Mapping[str, Team]
    keys: Mapping[str, Key]
    links: tuple[Link, ...]
    drains: Drains
    slots_per_zone: int
    hold_seconds: float
    key_hold_seconds: float
    shift_share: float = 0.2
    blocks: Mapping[str, str] = MappingProxyType({})


class Revision(NamedTuple):
    """A numbered catalogue, the change id that made it, and its document."""

    number: int
    change: str
    document: bytes
    catalogue: Catalogue
