"""Tables read from the store or a peer, each with its revision."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.model import Configuration, Route, Snapshot, Target

__all__ = ('Knowledge', 'Revisions', 'find_route')

# Targets that were dropped while the store was away get this long to register
# again: the platform promises about two seconds after its return.
LAPSE_SECONDS: Final = 2.5


class Revisions(NamedTuple):
    """Store revision of each table, 0 while nothing is known."""

    configuration: int = 0
    targets: int = 0
    evacuations: int = 0


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


class Knowledge:
    """The newest tables that this VM has heard of; none ever goes back."""

    def __init__(self, *, on_change: Callable[[str], None]) -> None:
        """Start without any table; `on_change` gets the name of a table."""
        self.configuration: Configuration | None = None
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.revisions = Revisions()
        self.lapsed: dict[str, float] = {}
        self.is_lapsing = False
        self._on_change = on_change

    def take_configuration(
        self,
        revision: int,
        configuration: Configuration | None,
    ) -> None:
        """Take a configuration unless a newer one is known."""
        if configuration is None or revision <= self.revisions.configuration:
            return
        known = self.configuration
        self.revisions = self.revisions._replace(configuration=revision)
        if known is None or configuration.version > known.version:
            self.configuration = configuration
            self._on_change('configuration')

    def take_evacuations(self, revision: int, zones: Iterable[str]) -> None:
        """Take the set of zones that are to get no requests."""
        if revision <= self.revisions.evacuations:
            return
        self.revisions = self.revisions._replace(evacuations=revision)
        taken = frozenset(zones)
        if taken != self.evacuated:
            self.evacuated = taken
            self._on_change('evacuations')

    def change_evacuations(
        self,
        revision: int,
        changes: Mapping[str, bool],
    ) -> None:
        """Add the zones that map to True and drop the others."""
        if revision <= self.revisions.evacuations:
            return
        kept = {zone for zone in self.evacuated if changes.get(zone, True)}
        added = {zone for zone, is_set in changes.items() if is_set}
        self.take_evacuations(revision, kept | added)

    def take_targets(
        self,
        revision: int,
        targets: Mapping[str, Target],
        now: float,
    ) -> None:
        """Replace the list of targets unless a newer one is known."""
        if revision <= self.revisions.targets:
            return
        self.revisions = self.revisions._replace(targets=revision)
        missing = self.targets.keys() - targets.keys()
        kept = self._keep_lapsed(missing, now)
        self.lapsed = {name: self.lapsed[name] for name in kept}
        self.targets = {**{name: self.targets[name] for name in kept}, **targets}
        self._on_change('targets')

    def change_targets(
        self,
        revision: int,
        changes: Mapping[str, Target | int],
        now: float,
    ) -> None:
        """Take changed targets; an integer is the revision of a removal."""
        if revision <= self.revisions.targets:
            return
        self.revisions = self.revisions._replace(targets=revision)
        gone = set()
        for name, change in changes.items():
            known = self.targets.get(name)
            if isinstance(change, int):
                if known and known.revision <= change:
                    gone.add(name)
            elif known is None or known.revision < change.revision:
                self.targets[name] = change
                self.lapsed.pop(name, None)
        for name in gone - self._keep_lapsed(gone, now):
            self.targets.pop(name)
            self.lapsed.pop(name, None)
        self._on_change('targets')

    def start_lapse(self) -> None:
        """Keep targets that are dropped from now on: the store is away."""
        self.is_lapsing = True

    def end_lapse(self, now: float) -> float:
        """Start the last wait for lapsed targets; return when it ends."""
        self.is_lapsing = False
        until = now + LAPSE_SECONDS
        self.lapsed = dict.fromkeys(self.lapsed, until)
        return until

    def drop_lapsed(self, now: float) -> tuple[str, ...]:
        """Drop targets that did not register again in time."""
        if self.is_lapsing:
            return ()
        over = tuple(name for name, end in self.lapsed.items() if end <= now)
        for name in over:
            self.lapsed.pop(name)
            self.targets.pop(name, None)
        if over:
            self._on_change('targets')
        return over

    def make_snapshot(self) -> Snapshot:
        """Return all tables for a peer that is behind."""
        return Snapshot(
            configuration_revision=self.revisions.configuration,
            configuration=self.configuration,
            targets_revision=self.revisions.targets,
            targets=self.targets,
            evacuations_revision=self.revisions.evacuations,
            evacuated=self.evacuated,
        )

    def take_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Take each table of a peer that is newer than the own one."""
        self.take_configuration(
            snapshot.configuration_revision,
            snapshot.configuration,
        )
        self.take_targets(snapshot.targets_revision, snapshot.targets, now)
        self.take_evacuations(
            snapshot.evacuations_revision,
            snapshot.evacuated,
        )

    def _keep_lapsed(self, names: Iterable[str], now: float) -> set[str]:
        if self.is_lapsing:
            for name in names:
                self.lapsed.setdefault(name, float('inf'))
        return {name for name in names if self.lapsed.get(name, 0) > now}
