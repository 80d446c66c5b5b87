"""Tables read from the store or another VM, each with its revision."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from toucanhall.fleet.departures import Departures, is_newer_entry
from toucanhall.fleet.evacuations import EvacuationTable
from toucanhall.fleet.model import Configuration, Route, Snapshot, Target
from toucanhall.fleet.removals import Removals
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.suspects import Suspect, SuspectTable

__all__ = ('FleetTables', 'find_route', 'has_large_bodies')

# Targets whose entries expired during an outage of the store get this long to
# register again: the platform promises about two seconds after the outage. It
# is less than the 2.5 s after which a target that left must get no request.
REREGISTRATION_SECONDS: Final = 2.1


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


def has_large_bodies(configuration: Configuration | None) -> bool:
    """Whether a configuration has routes with large bodies."""
    return configuration is not None and any(
        route.has_large_bodies
        for routes in configuration.hosts.values()
        for route in routes
    )


class FleetTables:
    """The newest known tables; an older table never replaces a newer one.

    While the store can't be reached, entries of targets expire that are in
    use. So targets that are deleted during an outage are held: they stay in
    `targets` until they had time to register again after it.

    In a new era the store may have lost some seconds. A target or a version of
    the configuration stays as it was last known until the store has a newer
    one; the same holds for a target that left.
    """

    def __init__(self, *, on_change: Callable[[str], None]) -> None:
        """Start without any table; `on_change` gets the name of a table."""
        self.configuration: Configuration | None = None
        self.targets: dict[str, Target] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.revisions = Revisions()
        self._evacuations = EvacuationTable()
        self.suspects = SuspectTable()
        # Until when each target is held; without end during an outage.
        self.held_targets: dict[str, float] = {}
        # Targets that are deleted before this time are held until it.
        self._hold_until = 0.0
        # Newest revision of the targets that other VMs have; and that any VM,
        # this one included, had when the last outage began.
        self._peer_targets_revision = Revision()
        self._targets_revision_at_outage = Revision()
        self.removals = Removals()
        self._departures = Departures()
        # An entry of the current era up to this revision may be of the copy
        # that the store came back from.
        self._era_start = 0
        self._on_change = on_change

    def replace_configuration(self, configuration: Configuration) -> None:
        """Replace the configuration unless a newer version is known."""
        known = self.configuration
        if known is None or configuration.version > known.version:
            self.revisions = self.revisions._replace(
                configuration=configuration.version
            )
            self.configuration = configuration
            self._on_change('configuration')

    def replace_evacuations(
        self, revision: Revision, entries: Mapping[str, int], now: float
    ) -> None:
        """Replace the evacuated zones, which get no requests.

        `entries` maps zones to the revisions of their entries.
        """
        self._evacuations.replace(revision, entries, now)
        self._note_evacuations()

    def apply_evacuation_changes(
        self, revision: Revision, changes: Mapping[str, int | None]
    ) -> None:
        """Apply the revisions of written entries, None for a removed one."""
        self._evacuations.apply_changes(revision, changes)
        self._note_evacuations()

    def drop_expired_evacuations(self, now: float) -> tuple[str, ...]:
        """Drop zones that the store has lost and nobody evacuated again."""
        expired = self._evacuations.drop_expired(now)
        self._note_evacuations()
        return expired

    def replace_suspects(
        self, revision: Revision, suspects: Mapping[str, Suspect], now: float
    ) -> None:
        """Replace the requests that are suspected to crash targets."""
        self.suspects.replace(revision, suspects, now)
        self._note_suspects()

    def apply_suspect_changes(
        self,
        revision: Revision,
        changes: Mapping[str, Suspect | None],
        now: float,
    ) -> None:
        """Apply written entries of suspects, None for a removed one."""
        self.suspects.apply_changes(revision, changes, now)
        self._note_suspects()

    def replace_targets(
        self,
        revision: Revision,
        targets: Mapping[str, Target],
        now: float,
    ) -> None:
        """Replace the table of targets unless a newer one is known."""
        known = self.revisions.targets
        if revision <= known:
            return
        is_in_new_era = revision.era > known.era
        if is_in_new_era:
            self._era_start = revision.number
            self.held_targets = {}
        if is_in_new_era and known.number:
            # What targets wrote in the lost seconds is written again.
            self._hold_until = max(
                self._hold_until, now + REREGISTRATION_SECONDS
            )
        current = self._select_current(targets)
        missing = self.targets.keys() - current.keys()
        held = {name: self.targets[name] for name in self._hold(missing, now)}
        if is_in_new_era:
            held = {
                name: target._replace(revision=0)
                for name, target in held.items()
            }
        self.removals.restart(revision.number)
        self._set_targets(revision, {**held, **current})

    def apply_target_changes(
        self,
        revision: Revision,
        changes: Mapping[str, Target | int],
        now: float,
    ) -> None:
        """Apply changed targets; an integer is the revision of a removal.

        Changes of another era than that of the table are passed over: they
        build on a table that this VM does not have.
        """
        known = self.revisions.targets
        if revision <= known or revision.era != known.era:
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
            self.removals.record(name, revision.number)
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
            configuration=self.configuration if has_configuration else None,
            targets_revision=Revision(),
            targets_since=Revision(),
            targets={},
            removed={},
            held_targets={
                name: end - now for name, end in self.held_targets.items()
            },
            evacuations=self._evacuations.make_snapshot(now),
            suspects=self.suspects.make_snapshot(),
        )
        if own.targets <= known.targets:
            return snapshot
        since = known.targets
        if since.era != own.targets.era or not self.removals.knows_all_since(
            since.number
        ):
            return snapshot._replace(
                targets_revision=own.targets,
                targets=self.targets,
            )
        return snapshot._replace(
            targets_revision=own.targets,
            targets_since=since,
            targets={
                name: target
                for name, target in self.targets.items()
                if target.revision > since.number
            },
            removed=self.removals.list_since(since.number),
        )

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Apply each table of a peer that is newer than the own one.

        Changes of the targets are passed over unless this VM knows the
        revision that they build on.
        """
        if snapshot.configuration is not None:
            self.replace_configuration(snapshot.configuration)
        own = self.revisions.targets
        if snapshot.targets_revision > own and snapshot.targets_since <= own:
            self._apply_targets(snapshot, now)
        self._evacuations.apply_snapshot(snapshot.evacuations, now)
        self._note_evacuations()
        self.suspects.apply_snapshot(snapshot.suspects, now)
        self._note_suspects()

    def _apply_targets(self, snapshot: Snapshot, now: float) -> None:
        revision = snapshot.targets_revision
        snapshot = snapshot._replace(
            targets={
                name: _keep_version(self.targets.get(name, found), found)
                for name, found in snapshot.targets.items()
            }
        )
        if snapshot.targets_since.number:
            targets = self._merge(snapshot)
        else:
            if revision.era > self.revisions.targets.era:
                self._era_start = revision.number
            targets = self._select_current(snapshot.targets)
            self.removals.restart(revision.number)
        # If another VM learned of changes since, only this VM lost the store;
        # in a new era, all did.
        lost_at = self._targets_revision_at_outage
        is_newer = revision > lost_at and revision.era == lost_at.era
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

    def _select_current(
        self, targets: Mapping[str, Target]
    ) -> dict[str, Target]:
        """Return a whole table without what is known to be outdated.

        Entries that may be of the copy that the store came back from give way
        to newer ones that this VM knows; targets that left since are dropped.
        """
        current = {}
        for name, target in targets.items():
            if target.revision > self._era_start:
                current[name] = target
            elif not self._departures.has_left(target):
                known = self.targets.get(name, target)
                is_outdated = is_newer_entry(known, target)
                current[name] = (
                    known._replace(revision=target.revision)
                    if is_outdated
                    else target
                )
        return current

    def _note_evacuations(self) -> None:
        self.revisions = self.revisions._replace(
            evacuations=self._evacuations.revision
        )
        zones = self._evacuations.zones
        if zones != self.evacuated_zones:
            self.evacuated_zones = zones
            self._on_change('evacuations')

    def _note_suspects(self) -> None:
        if self.suspects.revision != self.revisions.suspects:
            self.revisions = self.revisions._replace(
                suspects=self.suspects.revision
            )
            self._on_change('suspects')

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
        revision: Revision,
        targets: Mapping[str, Target],
    ) -> None:
        for name in self.targets.keys() - targets.keys():
            self._departures.record(self.targets[name])
        self._departures.discard(targets.keys())
        self.revisions = self.revisions._replace(targets=revision)
        self.targets = dict(targets)
        self.held_targets = {
            name: end
            for name, end in self.held_targets.items()
            if name in targets
        }
        self._on_change('targets')


def _keep_version(known: Target, found: Target) -> Target:
    """Return a target with its known version if a VM sent it without one.

    VMs of the first form of records don't know versions.
    """
    is_same_start = known.started_at == found.started_at
    if found.version or not is_same_start:
        return found
    return found._replace(version=known.version)
