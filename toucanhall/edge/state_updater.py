"""Applies changed tables and reports of other VMs to the state of a VM."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from toucanhall.fleet.membership import Members
from toucanhall.fleet.model import Environment
from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import pick_admitting, pick_serving
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import (
    RESERVE_VM_WEIGHT,
    Quotas,
    Usage,
    UsageReport,
)
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.registry import TargetRegistry

__all__ = ('StateUpdater',)

# Requests per second at a zone's VMs from which on they have load.
_MIN_LOAD_PER_SECOND: Final = 1.0


class StateUpdater:
    """Keeps targets, limits and retry budgets up to date."""

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_tables: FleetTables,
        registry: TargetRegistry,
        quotas: Quotas,
        retries: RetryBudget,
        journal: Journal,
        clock: Callable[[], float],
    ) -> None:
        """Update the state by which requests are admitted and dispatched."""
        self._environment = environment
        self._fleet_tables = fleet_tables
        self._registry = registry
        self._quotas = quotas
        self._retries = retries
        self._journal = journal
        self._clock = clock
        self._serving: dict[str, list[str]] = {}
        self._handlers = {
            'configuration': self._apply_configuration,
            'targets': self._apply_targets,
            'evacuations': self._apply_evacuations,
        }

    @property
    def is_serving(self) -> bool:
        """Whether the directory names this VM."""
        local = self._serving.get(self._environment.zone, [])
        return self._environment.vm in local

    def apply_table_change(self, table: str) -> None:
        """Apply a changed table."""
        self._handlers[table]()

    def drop_expired_targets(self) -> None:
        """Drop targets that the store lost and that did not come back."""
        dropped = self._fleet_tables.drop_expired_targets(self._clock())
        if dropped:
            self._journal.write(events.TARGETS_EXPIRED, targets=dropped)

    def update_from_reports(
        self,
        members: Members,
        zone: Sequence[Member],
        own: Mapping[str, Usage],
    ) -> None:
        """Apply what other VMs reported since the last heartbeat.

        `zone` holds the VMs of the own zone, `own` the usage of this VM.
        """
        now = self._clock()
        self.drop_expired_targets()
        ended = self._fleet_tables.drop_expired_evacuations(now)
        if ended:
            self._journal.write(events.EVACUATIONS_EXPIRED, zones=ended)
        alive = {self._environment.zone: zone}
        for other in members.list_zones():
            alive[other] = members.list_zone(other, now)
        serving = {
            name: _list_serving_names(vms) for name, vms in alive.items()
        }
        self._update_serving(serving)
        known = members.count_vms_by_zone()
        cut_off = {
            name
            for name, vms in alive.items()
            if _are_all_cut_off(vms, known[name])
        }
        self._registry.set_vm_groups(
            self._environment.vm,
            {
                name: VmGroup(
                    serving=tuple(sorted(serving[name])),
                    alive_count=len(vms),
                    registered_count=known.get(name, 0),
                    is_cut_off=name in cut_off,
                    has_load=sum(found.load for found in vms)
                    >= _MIN_LOAD_PER_SECOND,
                )
                for name, vms in alive.items()
            },
        )
        self._update_retries(serving)
        self._update_quotas(members, zone, own, now)

    def _update_serving(self, serving: dict[str, list[str]]) -> None:
        changed = [
            zone
            for zone, vms in serving.items()
            if vms != self._serving.get(zone, [])
        ]
        for name in changed:
            self._journal.write(
                events.SERVING_CHANGED,
                zone=name,
                vms=serving[name],
            )
        self._serving = serving

    def _update_retries(self, serving: Mapping[str, list[str]]) -> None:
        self._retries.set_vm_count(
            sum(map(len, serving.values())) if self.is_serving else math.inf,
        )

    def _update_quotas(
        self,
        members: Members,
        zone: Sequence[Member],
        own: Mapping[str, Usage],
        now: float,
    ) -> None:
        admitting = {member.vm for member in pick_admitting(zone)}
        is_admitting = self._environment.vm in admitting
        configuration = self._fleet_tables.configuration
        self._quotas.refill(
            configuration.teams.values() if configuration else (),
            UsageReport(own, vms=1.0 if is_admitting else RESERVE_VM_WEIGHT),
            [
                *members.list_local_usage_reports(now, admitting),
                *members.list_remote_usage_reports(now),
            ],
            now,
        )

    def _apply_configuration(self) -> None:
        configuration = self._fleet_tables.configuration
        if configuration is not None:
            self._registry.set_configuration(configuration)
            self._journal.write(
                events.CONFIGURATION_APPLIED,
                version=configuration.version,
            )

    def _apply_targets(self) -> None:
        self._registry.replace_targets(
            self._fleet_tables.targets, self._clock()
        )
        self._journal.write(
            events.TARGETS_CHANGED,
            era=self._fleet_tables.revisions.targets.era,
            revision=self._fleet_tables.revisions.targets.number,
            targets=len(self._fleet_tables.targets),
        )

    def _apply_evacuations(self) -> None:
        self._registry.set_evacuated_zones(
            self._fleet_tables.evacuated_zones,
            self._fleet_tables.configuration,
            self._clock(),
        )
        self._journal.write(
            events.EVACUATIONS_CHANGED,
            era=self._fleet_tables.revisions.evacuations.era,
            revision=self._fleet_tables.revisions.evacuations.number,
            zones=sorted(self._fleet_tables.evacuated_zones),
        )


def _list_serving_names(members: Sequence[Member]) -> list[str]:
    return [
        member.vm for member in pick_serving(members) if member.reaches_targets
    ]


def _are_all_cut_off(members: Sequence[Member], registered: int) -> bool:
    """Whether all registered VMs of a zone say that they reach no target."""
    return (
        bool(members)
        and len(members) >= registered
        and not any(found.reaches_targets for found in members)
    )
