"""Types of the configuration, the targets and the VMs."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = (
    'Address',
    'Bounds',
    'ClientLimits',
    'Configuration',
    'Environment',
    'VmContact',
    'Listeners',
    'WeightedService',
    'Route',
    'Service',
    'Snapshot',
    'Target',
    'Team',
)


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int


class Listeners(NamedTuple):
    """Where a VM listens; None for what it does not serve."""

    requests: Address | None
    readiness: Address | None
    directory: Address | None
    control: Address | None


class Bounds(NamedTuple):
    """Bounds that the whole fleet keeps; times in seconds.

    Beyond the limit of a team, `quota_overage` of it and `quota_slack`
    requests are borne in a window.
    """

    shutdown_grace_seconds: float
    directory_ttl_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    quota_window_seconds: float
    quota_overage: float
    quota_slack: float
    target_heartbeat_seconds: float


class Environment(NamedTuple):
    """What a VM is told at its start.

    `regions` maps each availability zone to its region, `seeds` are control
    addresses of VMs that may be down, `capacity` is what the VM bears in
    requests a second, `memory` the bytes and `max_descriptors` the open files that
    its process may use.
    """

    vm: str
    zone: str
    region: str
    regions: Mapping[str, str]
    ip: str
    listeners: Listeners
    gossip_port: int
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    capacity: float
    memory: int
    max_descriptors: int


class WeightedService(NamedTuple):
    """A service of a route and the weight of its part of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and a path prefix go; times in seconds."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout: float | None
    objective: float | None
    priority: int
    weighted_services: tuple[WeightedService, ...]
    attempts: int
    is_public: bool
    homes: frozenset[str]


class Team(NamedTuple):
    """A team: `rate` and `burst` are None where it has no limit."""

    name: str
    priority: int | None
    rate: float | None
    burst: float
    homes: frozenset[str]


class Service(NamedTuple):
    """A kind of target and what its targets bear.

    A target that started less than `cold_seconds` ago bears
    `cold_per_second` requests a second from the whole fleet.
    """

    name: str
    health_path: str
    cold_seconds: float
    cold_per_second: float


class ClientLimits(NamedTuple):
    """What callers may send (bytes) and how long they may take (seconds)."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class Configuration(NamedTuple):
    """One version of the routes, services, teams and limits.

    The routes of each host are ordered from the longest prefix.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    teams: Mapping[str, Team]
    keys: Mapping[str, str]
    limits: ClientLimits


class Target(NamedTuple):
    """A target as it registered itself.

    `started_at` tells its incarnations apart (Unix milliseconds, 0 if not
    told); `cold_seconds` is how long it stays cold from the time at which the
    entry was written; `revision` is the store's, of its last change.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    cold_seconds: float
    started_at: int
    revision: int


class VmContact(NamedTuple):
    """The place of a VM, enough to send messages to it."""

    vm: str
    zone: str
    ip: str


class Snapshot(NamedTuple):
    """Tables of a VM with their revisions; 0 for one that is not newer.

    `targets` and `removed` (with the revision of each removal) are what has
    changed after `targets_since`; where it is 0, `targets` is the whole table.
    `held_targets` maps targets that were dropped while the store was away to the
    seconds in which they may register again.
    """

    configuration_revision: int
    configuration: Configuration | None
    targets_revision: int
    targets_since: int
    targets: Mapping[str, Target]
    removed: Mapping[str, int]
    held_targets: Mapping[str, float]
    evacuations_revision: int
    evacuated_zones: frozenset[str]
