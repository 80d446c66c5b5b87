"""Creates what a VM knows about targets: load, health, order and limits."""

from typing import NamedTuple

from toucanhall.edge.limit_exchange import LimitExchange
from toucanhall.fleet.model import Environment
from toucanhall.observe.journal import Journal
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.target_limits import TargetLimits
from toucanhall.runtime import read_boot_clock

__all__ = ('TargetState', 'make_target_state')


class TargetState(NamedTuple):
    """The registry of targets, and the exchange of their limits."""

    registry: TargetRegistry
    limits: LimitExchange


def make_target_state(
    environment: Environment, journal: Journal
) -> TargetState:
    """Return the state of a VM that knows no target yet."""
    limits = TargetLimits(regions=environment.regions, clock=read_boot_clock)
    registry = TargetRegistry(
        location=Location(environment.zone, environment.region),
        regions=environment.regions,
        limits=limits,
    )
    exchange = LimitExchange(
        limits=limits, zone=environment.zone, journal=journal
    )
    return TargetState(registry, exchange)
