"""Types of the configuration, the targets, the VMs and their settings."""

from collections.abc import Mapping
from typing import NamedTuple

from toucanhall.fleet.evacuations import EvacuationSnapshot
from toucanhall.fleet.revisions import Revision
from toucanhall.fleet.suspects import SuspectSnapshot

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
    """Addresses on which a VM listens; None for what it does not serve."""

    requests: Address | None
    readiness: Address | None
    directory: Address | None
    control: Address | None


class Bounds(NamedTuple):
    """Bounds that the whole fleet keeps; times in seconds.

    In a window, the fleet may admit more than the limit of a team by the
    fraction `quota_overage` of it and by `quota_slack` requests. Retries are
    bound by `retry_ratio` of the requests and `retry_slack` more in a window.
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
    """Settings of a VM, read at its start.

    `regions` maps each availability zone to its region, `seeds` are control
    addresses of VMs, some of which may be down, `capacity` is the load that
    the VM can serve in requests a second. Its process may use `memory` bytes
    and `max_descriptors` open files.
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
    """A service of a route and its weight in the split of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The route of a host and a path prefix; times in seconds.

    Its requests are split over `weighted_services` by weight. Bodies of
    requests or answers are large if it `has_large_bodies`.
    """

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
    has_large_bodies: bool = False


class Team(NamedTuple):
    """A team: `rate` is in requests a second, None without a limit."""

    name: str
    priority: int | None
    rate: float | None
    burst: float
    homes: frozenset[str]


class Service(NamedTuple):
    """A service: how its targets are checked, and their load after a start.

    A target that started less than `cold_seconds` ago gets at most
    `cold_per_second` requests a second from the whole fleet.
    """

    name: str
    health_path: str
    cold_seconds: float
    cold_per_second: float


class ClientLimits(NamedTuple):
    """Limits of what callers send, in bytes, and of the time they take."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class Configuration(NamedTuple):
    """One version of the routes, services, teams, API keys and limits.

    The routes of each host are ordered from the longest prefix on.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    teams: Mapping[str, Team]
    keys: Mapping[str, str]
    limits: ClientLimits

    @property
    def has_large_bodies(self) -> bool:
        """Whether a route is for requests or answers with large bodies."""
        return any(
            route.has_large_bodies
            for routes in self.hosts.values()
            for route in routes
        )


class Target(NamedTuple):
    """A target as it registered itself.

    `started_at` is the time of its start (Unix milliseconds, 0 if unknown);
    `cold_seconds` is how long it stays cold after its entry was written;
    `revision` is the revision of the store at its last change, in the era of
    the table; `sequence` counts the writes of the target since its start;
    `version` is that of its software.
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
    sequence: int = 0
    version: str = ''

    @property
    def release(self) -> str:
        """The software of the target: its service and version."""
        return f'{self.service} {self.version}'


class VmContact(NamedTuple):
    """Name, zone and address of a VM, enough to send it messages."""

    vm: str
    zone: str
    ip: str


class Snapshot(NamedTuple):
    """Tables of a VM with their revisions; 0 for one that is not newer.

    `targets` and `removed` (with the revision of each removal) have changed
    after `targets_since`; without a revision, `targets` is the whole table.
    `held_targets` maps targets that were deleted during an outage of the
    store to the seconds that remain for them to register again.
    """

    configuration: Configuration | None
    targets_revision: Revision
    targets_since: Revision
    targets: Mapping[str, Target]
    removed: Mapping[str, int]
    held_targets: Mapping[str, float]
    evacuations: EvacuationSnapshot
    suspects: SuspectSnapshot = SuspectSnapshot(Revision(), {})
