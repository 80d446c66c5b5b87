"""Tables read from the store or another VM, each with its revision."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.model import Configuration, Route, Snapshot, Target
from toucanhall.fleet.removals import Removals

__all__ = ('FleetTables', 'Revisions', 'find_route', 'is_ahead')

# Targets whose entries expired during an outage of the store get this long to
# register again: the platform promises about two seconds after the outage. It
# is less than the 2.5 s after which a target that left must get no request.
REREGISTRATION_SECONDS: Final = 2.1


class Revisions(NamedTuple):
    """Store revision of each table, 0 while it is not known."""

    configuration: int = 0
    targets: int = 0
    evacuations: int = 0


def is_ahead(found: Revisions, own: Revisions) -> bool:
    """Whether any table of a peer is newer than the own one."""
    return any(theirs > ours for theirs, ours in zip(found, own, strict=True))


def find_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Return the route with the longest prefix of the path."""
    for route in configuration.hosts.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


class FleetTables:
    """The newest known tables; an older table never replaces a newer one.

    While the store can't be reached, entries of targets expire that are in
    use. So targets that are deleted during an outage are held: they stay in
    `targets` until they had time to register again after it.
    """

    def __init__(self, *, on_change: Callable[[str], None]) -> None:
        """Start without any table; `on_change` gets the name of a table."""
        self.configuration: Configuration | None = None
        self.targets: dict[str, Target] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.revisions = Revisions()
        # Until when each target is held; without end during an outage.
        self.held_targets: dict[str, float] = {}
        # Targets that are deleted before this time are held until it.
        self._hold_until = 0.0
        # Newest revision of the targets that other VMs have; and that any VM,
        # this one included, had when the last outage began.
        self._peer_targets_revision = 0
        self._targets_revision_at_outage = 0
        self.removals = Removals()
        self._on_change = on_change

    def replace_configuration(
        self,
        revision: int,
        configuration: Configuration | None,
    ) -> None:
        """Replace the configuration unless a newer one is known."""
        if configuration is None or revision <= self.revisions.configuration:
            return
        known = self.configuration
        self.revisions = self.revisions._replace(configuration=revision)
        if known is None or configuration.version > known.version:
            self.configuration = configuration
            self._on_change('configuration')

    def replace_evacuations(self, revision: int, zones: Iterable[str]) -> None:
        """Replace the set of evacuated zones, which get no requests."""
        if revision <= self.revisions.evacuations:
            return
        self.revisions = self.revisions._replace(evacuations=revision)
        evacuated = frozenset(zones)
        if evacuated != self.evacuated_zones:
            self.evacuated_zones = evacuated
            self._on_change('evacuations')

    def apply_evacuation_changes(
        self,
        revision: int,
        changes: Mapping[str, bool],
    ) -> None:
        """Add the zones that map to True and remove the others."""
        if revision <= self.revisions.evacuations:
            return
        kept = {
            zone for zone in self.evacuated_zones if changes.get(zone, True)
        }
        added = {zone for zone, is_set in changes.items() if is_set}
        self.replace_evacuations(revision, kept | added)

    def replace_targets(
        self,
        revision: int,
        targets: Mapping[str, Target],
        now: float,
    ) -> None:
        """Replace the table of targets unless a newer one is known."""
        if revision <= self.revisions.targets:
            return
        missing = self.targets.keys() - targets.keys()
        held = {name: self.targets[name] for name in self._hold(missing, now)}
        self.removals.restart(revision)
        self._set_targets(revision, {**held, **targets})

    def apply_target_changes(
        self,
        revision: int,
        changes: Mapping[str, Target | int],
        now: float,
    ) -> None:
        """Apply changed targets; an integer is the revision of a removal."""
        if revision <= self.revisions.targets:
            return
        written = {
            name: change
            for name, change in changes.items()
            if isinstance(change, Target)
            and change.revision > self._get_target_revision(name)
        }
        removed = {
            name: change
            for name, change in changes.items()
            if isinstance(change, int)
            and self._get_target_revision(name) <= change
        }
        for name in written:
            self.held_targets.pop(name, None)
            self.removals.discard(name)
        for name in removed:
            # The object of a removal may bear the revision of its last write.
            self.removals.record(name, revision)
        deleted = self.targets.keys() & removed.keys()
        targets = {**self.targets, **written}
        for name in deleted - self._hold(deleted, now):
            targets.pop(name)
        self._set_targets(revision, targets)

    def start_store_outage(self) -> None:
        """Hold targets that are deleted from now on: the store is lost."""
        self._hold_until = float('inf')
        self._targets_revision_at_outage = max(
            self._peer_targets_revision,
            self.revisions.targets,
        )

    def record_peer_revisions(self, revisions: Revisions) -> None:
        """Record the revisions of another VM."""
        self._peer_targets_revision = max(
            self._peer_targets_revision,
            revisions.targets,
        )

    def end_store_outage(self, now: float, *, may_have_expired: bool) -> None:
        """Give the held targets time to register again: the store is back.

        There is no such time after an outage too short for any entry to
        expire, nor if another VM reported newer targets meanwhile: then only
        this VM had lost the store, and what was deleted had left.
        """
        if self._hold_until == float('inf'):
            wait = REREGISTRATION_SECONDS if may_have_expired else 0.0
            self._hold_until = now + wait
            # A watch that works during the outage may have deleted some.
            self.held_targets = {
                name: min(end, self._hold_until)
                for name, end in self.held_targets.items()
            }

    def drop_expired_targets(self, now: float) -> tuple[str, ...]:
        """Remove held targets that did not register again in time."""
        expired = tuple(
            name for name, end in self.held_targets.items() if end <= now
        )
        if expired:
            kept = self.targets.keys() - set(expired)
            self._set_targets(
                self.revisions.targets,
                {name: self.targets[name] for name in kept},
            )
        return expired

    def make_snapshot(self, known: Revisions, now: float) -> Snapshot:
        """Return what is newer than the revisions that a peer knows."""
        own = self.revisions
        has_configuration = own.configuration > known.configuration
        snapshot = Snapshot(
            configuration_revision=own.configuration,
            configuration=self.configuration if has_configuration else None,
            targets_revision=0,
            targets_since=0,
            targets={},
            removed={},
            held_targets={
                name: end - now for name, end in self.held_targets.items()
            },
            evacuations_revision=own.evacuations,
            evacuated_zones=self.evacuated_zones,
        )
        if own.targets <= known.targets:
            return snapshot
        if not self.removals.knows_all_since(known.targets):
            return snapshot._replace(
                targets_revision=own.targets,
                targets=self.targets,
            )
        return snapshot._replace(
            targets_revision=own.targets,
            targets_since=known.targets,
            targets={
                name: target
                for name, target in self.targets.items()
                if target.revision > known.targets
            },
            removed=self.removals.list_since(known.targets),
        )

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Apply each table of a peer that is newer than the own one.

        Changes of the targets are passed over unless this VM knows the
        revision that they build on.
        """
        self.replace_configuration(
            snapshot.configuration_revision,
            snapshot.configuration,
        )
        own = self.revisions.targets
        if snapshot.targets_since <= own < snapshot.targets_revision:
            self._apply_targets(snapshot, now)
        self.replace_evacuations(
            snapshot.evacuations_revision,
            snapshot.evacuated_zones,
        )

    def _apply_targets(self, snapshot: Snapshot, now: float) -> None:
        if snapshot.targets_since:
            targets = self._merge(snapshot)
        else:
            targets = dict(snapshot.targets)
            self.removals.restart(snapshot.targets_revision)
        # If another VM learned of changes since, only this VM lost the store.
        is_newer = snapshot.targets_revision > self._targets_revision_at_outage
        if is_newer and targets != self.targets:
            self._hold_until = 0.0
        self.held_targets = {
            name: now + remaining
            for name, remaining in snapshot.held_targets.items()
        }
        self._set_targets(snapshot.targets_revision, targets)

    def _merge(self, snapshot: Snapshot) -> dict[str, Target]:
        """Return the own targets with the changes of a snapshot.

        Targets that this VM holds and the peer does not are removed: they are
        not in the peer's table.
        """
        for name, revision in snapshot.removed.items():
            self.removals.record(name, revision)
        for name in snapshot.targets:
            self.removals.discard(name)
        deleted = (snapshot.removed.keys() | self.held_targets.keys()) - (
            snapshot.held_targets.keys()
        )
        return {
            **{
                name: target
                for name, target in self.targets.items()
                if name not in deleted
            },
            **snapshot.targets,
        }

    def _get_target_revision(self, name: str) -> int:
        known = self.targets.get(name)
        return known.revision if known else 0

    def _hold(self, names: Iterable[str], now: float) -> set[str]:
        """Hold deleted targets if it is time to; return those held now."""
        if now < self._hold_until:
            for name in names:
                self.held_targets.setdefault(name, self._hold_until)
        return {name for name in names if self.held_targets.get(name, 0) > now}

    def _set_targets(
        self,
        revision: int,
        targets: Mapping[str, Target],
    ) -> None:
        self.revisions = self.revisions._replace(targets=revision)
        self.targets = dict(targets)
        self.held_targets = {
            name: end
            for name, end in self.held_targets.items()
            if name in targets
        }
        self._on_change('targets')
