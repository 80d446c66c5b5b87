"""Builders of configurations, targets and heartbeats for tests."""

from collections.abc import Callable, Mapping

from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.model import (
    Address,
    Bounds,
    Environment,
    Listeners,
    Target,
    Team,
    VmContact,
)
from toucanhall.fleet.reports import LimitReport, Member, ZoneReport
from toucanhall.fleet.revisions import Revisions
from toucanhall.limits.quota import Usage
from toucanhall.placement.target_limits import TargetLimits
from toucanhall.platform.store import Store
from toucanhall.web.buffer_budget import make_buffer_budget
from toucanhall.web.client import ConnectionSettings
from toucanhall.web.memory import compute_answer_bounds

__all__ = (
    'make_limit_report',
    'make_limits',
    'make_bounds',
    'make_environment',
    'make_heartbeat',
    'make_member',
    'make_members',
    'make_opening',
    'make_report',
    'make_store',
    'make_target',
    'make_team',
)


def ignore_era(_before: int, _era: int) -> None:
    """Take no notice of a new era of the store."""


def make_target(name: str = 't1', **fields: object) -> Target:
    """Return a target that is warm and takes requests."""
    target = Target(
        id=name,
        service='guide',
        address=Address('127.0.0.1', 9000),
        zone='east-a',
        slots=9,
        is_draining=False,
        cold_seconds=0.0,
        started_at=1,
        revision=1,
    )
    return target._replace(**fields)


def make_team(name: str = 'guides', **fields: object) -> Team:
    """Return a team without home regions."""
    team = Team(
        name=name,
        priority=None,
        rate=100.0,
        burst=100.0,
        homes=frozenset(),
    )
    return team._replace(**fields)


def make_bounds(**fields: object) -> Bounds:
    """Return the bounds of the deployments."""
    bounds = Bounds(
        shutdown_grace_seconds=6.0,
        directory_ttl_seconds=2.0,
        retry_ratio=0.2,
        retry_window_seconds=10.0,
        retry_slack=133.0,
        quota_window_seconds=5.0,
        quota_overage=0.1,
        quota_slack=20.0,
        target_heartbeat_seconds=1.5,
    )
    return bounds._replace(**fields)


def make_environment(**fields: object) -> Environment:
    """Return the settings of a VM that is alone in its zone."""
    environment = Environment(
        vm='vm-1',
        zone='east-a',
        region='east',
        regions={'east-a': 'east'},
        ip='127.64.203.2',
        listeners=Listeners(None, None, None, None),
        gossip_port=7560,
        seeds=(),
        store=Address('127.64.203.1', 8382),
        bounds=make_bounds(),
        capacity=600.0,
        memory=152_000_000,
        max_descriptors=1535,
    )
    return environment._replace(**fields)


def make_heartbeat(
    vm: str = 'vm-1',
    *,
    started_at: int = 1,
    usage: Mapping[str, Usage] | None = None,
    **fields: object,
) -> Heartbeat:
    """Return the heartbeat of a ready VM; `fields` are those of its member."""
    return Heartbeat(
        member=make_member(vm, **fields),
        started_at=started_at,
        revisions=Revisions(),
        usage=usage or {},
    )


def make_member(vm: str = 'vm-1', **fields: object) -> Member:
    """Return the state of a VM that is ready."""
    member = Member(
        vm=vm,
        zone='east-a',
        ip='127.0.0.1',
        is_ready=True,
        is_leaving=False,
        lag=0.0,
        capacity=600.0,
        load=0.0,
    )
    return member._replace(**fields)


def make_report(delegate: str = 'vm-7', **fields: object) -> ZoneReport:
    """Return the report of a zone without VMs."""
    report = ZoneReport(
        zone='west-a',
        delegate=delegate,
        ip='127.0.0.7',
        stamp=(1, 1),
        revisions=Revisions(),
        members=(),
        usage_reports=(),
    )
    return report._replace(**fields)


def make_members(*zones: str, now: float = -100.0) -> Members:
    """Return the members known to a VM of `east-a` that started long ago."""
    own = VmContact('vm-own', 'east-a', '127.0.0.99')
    return Members(own=own, zones=('east-a', *zones), now=now)


def make_opening(
    memory: int = 152_000_000, id_header: bytes = b''
) -> ConnectionSettings:
    """Return how a VM with this memory (bytes) opens connections."""
    return ConnectionSettings(
        bounds=compute_answer_bounds(memory),
        buffer_budget=make_buffer_budget(memory),
        id_header=id_header,
    )


def make_limits(
    regions: Mapping[str, str], clock: Callable[[], float] = float
) -> TargetLimits:
    """Return the limits of targets of a VM that knows none."""
    return TargetLimits(regions=regions, clock=clock)


def make_limit_report(target: str = 't1', **fields: object) -> LimitReport:
    """Return what a VM observed just now: a limit of two a second."""
    report = LimitReport(
        target=target,
        started_at=1,
        per_second=2.0,
        sent_age=0.2,
        received_age=0.1,
    )
    return report._replace(**fields)


def make_store(
    address: Address, on_era: Callable[[int, int], None] = ignore_era
) -> Store:
    """Return a client of a store; its calls are not counted."""
    return Store(
        address=address,
        settings=make_opening(),
        on_call=lambda _call, _seconds: None,
        on_unknown_headers=lambda _headers: None,
        on_era=on_era,
    )
