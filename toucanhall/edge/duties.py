"""What a VM does when its knowledge changes and with each heartbeat."""

from collections.abc import Callable
from typing import Final

from toucanhall.fleet.knowledge import Knowledge
from toucanhall.fleet.membership import Members, pick_watchers
from toucanhall.fleet.model import Environment
from toucanhall.limits.quota import Quotas, Usage
from toucanhall.limits.retries import RetryBudget
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.field import Field

__all__ = ('Duties',)

# One VM of each zone watches the store; the others of the zone hear from it,
# and from the VMs of other zones when it is cut off.
_WATCHERS_PER_ZONE: Final = 1


class Duties:
    """Brings targets, limits and the watch of the store up to date."""

    def __init__(
        self,
        *,
        environment: Environment,
        knowledge: Knowledge,
        field: Field,
        quotas: Quotas,
        retries: RetryBudget,
        journal: Journal,
        clock: Callable[[], float],
    ) -> None:
        """Work on what the path of requests decides by."""
        self._environment = environment
        self._knowledge = knowledge
        self._field = field
        self._quotas = quotas
        self._retries = retries
        self._journal = journal
        self._clock = clock
        self._changes = {
            'configuration': self._take_configuration,
            'targets': self._take_targets,
            'evacuations': self._take_evacuations,
        }

    def take_change(self, table: str) -> None:
        """Act on a changed table."""
        self._changes[table]()

    def take_beat(self, members: Members, own: dict[str, Usage]) -> None:
        """Act on what the other VMs told since the last heartbeat."""
        now = self._clock()
        dropped = self._knowledge.drop_lapsed(now)
        if dropped:
            self._journal.write(events.TARGETS_LAPSED, targets=dropped)
        alive = members.list_alive(now)
        zone, vm = self._environment.zone, self._environment.vm
        zones: dict[str, list[str]] = {zone: [vm]}
        for found in alive:
            if found.is_ready:
                zones.setdefault(found.zone, []).append(found.vm)
        self._field.take_vms(
            vm,
            {name: sorted(vms) for name, vms in zones.items()},
        )
        self._retries.resize(len(alive) + 1)
        configuration = self._knowledge.configuration
        self._quotas.divide(
            configuration.teams.values() if configuration else (),
            own,
            members.list_told(now),
            now,
        )

    def is_watcher(self, members: Members) -> bool:
        """Whether this VM is one that watches the store for its zone."""
        watchers = pick_watchers(
            self._environment.vm,
            self._environment.zone,
            members.list_alive(self._clock()),
            _WATCHERS_PER_ZONE,
        )
        return self._environment.vm in watchers

    def _take_configuration(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is not None:
            self._journal.write(
                events.CONFIGURATION_TAKEN,
                revision=self._knowledge.revisions.configuration,
                version=configuration.version,
            )

    def _take_targets(self) -> None:
        self._field.take_targets(self._knowledge.targets, self._clock())
        self._journal.write(
            events.TARGETS_CHANGED,
            revision=self._knowledge.revisions.targets,
            targets=len(self._knowledge.targets),
        )

    def _take_evacuations(self) -> None:
        self._field.take_evacuations(
            self._knowledge.evacuated,
            self._knowledge.configuration,
            self._clock(),
        )
        self._journal.write(
            events.EVACUATIONS_CHANGED,
            revision=self._knowledge.revisions.evacuations,
            zones=sorted(self._knowledge.evacuated),
        )
