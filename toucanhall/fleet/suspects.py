"""The table of requests that were in flight at targets when these crashed."""

from collections.abc import Mapping
from typing import Final, NamedTuple, TypeVar

from toucanhall.fleet.revisions import Revision

__all__ = (
    'Crash',
    'Suspect',
    'SuspectSnapshot',
    'SuspectTable',
    'merge_suspects',
)

_MAX_CRASHES_COUNT: Final = 8
_MAX_SUSPECTS_COUNT: Final = 128
# An entry without a change for so long is dropped, by the crashes it has.
_SINGLE_CRASH_EXPIRY_SECONDS: Final = 60.0
_EXPIRY_SECONDS: Final = 4 * 3600.0


class Crash(NamedTuple):
    """The end of one start of a target, at a release of its software."""

    target: str
    started_at: int
    release: str


class Suspect(NamedTuple):
    """What is known of a request that was in flight at crashes.

    `trial_count` requests were sent as trials since, also at
    `tried_releases`; targets of `served_releases` have served it. `revision`
    is that of its entry in the store, 0 if it has none.
    """

    crashes: tuple[Crash, ...] = ()
    trial_count: int = 0
    tried_releases: tuple[str, ...] = ()
    served_releases: tuple[str, ...] = ()
    revision: int = 0


class SuspectSnapshot(NamedTuple):
    """The suspects that a VM knows, by their fingerprints."""

    revision: Revision
    suspects: Mapping[str, Suspect]


def merge_suspects(known: Suspect, found: Suspect) -> Suspect:
    """Return what two entries of a request tell together.

    The result has the revision of the second one.
    """
    return Suspect(
        crashes=_unite(known.crashes, found.crashes)[-_MAX_CRASHES_COUNT:],
        trial_count=max(known.trial_count, found.trial_count),
        tried_releases=_unite(known.tried_releases, found.tried_releases),
        served_releases=_unite(known.served_releases, found.served_releases),
        revision=found.revision,
    )


class SuspectTable:
    """The suspected requests by their fingerprints, in bounded memory.

    What this VM observes itself is in force at once and unsaved until the
    store has it. What the store loses in a new era is unsaved, too.
    """

    def __init__(self) -> None:
        """Start without any suspect."""
        self.revision = Revision()
        self.suspects: dict[str, Suspect] = {}
        self.unsaved: set[str] = set()
        # Entries that were cleared and are still in the store.
        self.cleared: set[str] = set()
        self._changed_at: dict[str, float] = {}

    def compute_age(self, name: str, now: float) -> float:
        """Return the seconds since this VM learned of the last change."""
        return now - self._changed_at.get(name, now)

    def replace(
        self, revision: Revision, suspects: Mapping[str, Suspect], now: float
    ) -> None:
        """Replace the table unless a newer one is known."""
        if revision <= self.revision:
            return
        kept = self.unsaved
        if revision.era > self.revision.era:
            kept = set(self.suspects)
        for name in self.suspects.keys() - suspects.keys() - kept:
            self._drop(name)
        if revision.era > self.revision.era:
            for name in kept - suspects.keys():
                self._set(name, self.suspects[name]._replace(revision=0), now)
                self.unsaved.add(name)
        self.revision = revision
        for name, suspect in suspects.items():
            self._take(name, suspect, now)

    def apply_changes(
        self,
        revision: Revision,
        changes: Mapping[str, Suspect | None],
        now: float,
    ) -> None:
        """Apply written entries, None for a removed one."""
        if revision <= self.revision or revision.era != self.revision.era:
            return
        self.revision = revision
        for name, suspect in changes.items():
            if suspect is not None:
                self._take(name, suspect, now)
            elif name not in self.unsaved:
                self._drop(name)

    def update(self, name: str, suspect: Suspect, now: float) -> None:
        """Record what this VM observed; the store is still to learn of it."""
        self.unsaved.add(name)
        self.cleared.discard(name)
        self._set(name, suspect, now)

    def record_saved(self, name: str, suspect: Suspect) -> None:
        """Record that the store has an entry, unless it changed meanwhile."""
        if self.suspects.get(name) == suspect:
            self.unsaved.discard(name)

    def clear(self, name: str) -> bool:
        """Drop a suspect; return whether its entry is still to be deleted."""
        suspect = self.suspects.get(name)
        if suspect is None:
            return False
        self._drop(name)
        if suspect.revision:
            self.cleared.add(name)
        return bool(suspect.revision)

    def drop_expired(self, now: float) -> tuple[str, ...]:
        """Drop the entries that did not change for long, and return them."""
        expired = tuple(
            name
            for name, suspect in self.suspects.items()
            if self.compute_age(name, now) > _get_expiry_seconds(suspect)
        )
        for name in expired:
            self._drop(name)
        return expired

    def make_snapshot(self) -> SuspectSnapshot:
        """Return the table for another VM."""
        return SuspectSnapshot(self.revision, dict(self.suspects))

    def apply_snapshot(self, snapshot: SuspectSnapshot, now: float) -> None:
        """Apply the table of another VM if it is newer."""
        self.replace(snapshot.revision, snapshot.suspects, now)

    def _take(self, name: str, found: Suspect, now: float) -> None:
        """Take an entry that was read from the store."""
        if name in self.cleared:
            return
        known = self.suspects.get(name)
        if known is not None and name in self.unsaved:
            merged = merge_suspects(known, found)
            if merged == found:
                self.unsaved.discard(name)
            found = merged
        self._set(name, found, now)

    def _set(self, name: str, suspect: Suspect, now: float) -> None:
        known = self.suspects.pop(name, None)
        if known is None or known[:-1] != suspect[:-1]:
            self._changed_at[name] = now
        self.suspects[name] = suspect
        if len(self.suspects) > _MAX_SUSPECTS_COUNT:
            self._drop(min(self.suspects, key=self._get_rank))

    def _get_rank(self, name: str) -> tuple[int, float]:
        """Order by what is dropped first: few crashes, long ago."""
        return len(self.suspects[name].crashes), self._changed_at[name]

    def _drop(self, name: str) -> None:
        self.suspects.pop(name, None)
        self._changed_at.pop(name, None)
        self.unsaved.discard(name)


_Part = TypeVar('_Part')


def _unite(
    known: tuple[_Part, ...], found: tuple[_Part, ...]
) -> tuple[_Part, ...]:
    return tuple(dict.fromkeys((*known, *found)))


def _get_expiry_seconds(suspect: Suspect) -> float:
    if len(suspect.crashes) > 1:
        return _EXPIRY_SECONDS
    return _SINGLE_CRASH_EXPIRY_SECONDS
