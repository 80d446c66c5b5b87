"""Records of the catalogue, as the other slices read them."""

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
    """An availability zone: its region and its part of every limit."""

    name: str
    region: str
    fraction: float


class Target(NamedTuple):
    """A target: its `host:port`, the service it runs and its room."""

    name: str
    zone: str
    service: str
    address: str
    slots: int
    connections: int


class Route(NamedTuple):
    """A path prefix, who owns it, and how its requests are handled."""

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
    """A granted key, known only by the SHA-256 digest of its text."""

    name: str
    team: str
    digest: str


class Link(NamedTuple):
    """Capacity shared by two regions, in Mbit/s each way."""

    regions: tuple[str, str]
    capacity_mbit_per_second: float


class Drains(NamedTuple):
    """Names of targets, VMs and zones that take no new work."""

    targets: frozenset[str] = frozenset()
    vms: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


class Catalogue(NamedTuple):
    """One whole catalogue; mappings are by name, keys by digest.

    `shift_share` is the share of a zone's slots by which the traffic that
    comes from other zones may grow in a second. `blocks` maps a prefix of
    client addresses to the nearest zone.
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
    """A numbered catalogue, the change that made it, and its document."""

    number: int
    change: str
    document: bytes
    catalogue: Catalogue
