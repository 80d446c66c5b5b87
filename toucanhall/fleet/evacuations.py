"""The table of evacuated zones."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.revisions import Revision

__all__ = ('HOLD_SECONDS', 'EvacuationTable', 'EvacuationSnapshot')

# An evacuation that the store has lost is written again by its operator: it is
# kept for as long as operators may wait for a new one to be in force.
HOLD_SECONDS: Final = 5.0


class EvacuationSnapshot(NamedTuple):
    """The evacuations that a VM knows.

    `entries` maps zones to the revisions of their entries; `held` maps zones
    whose entries the store has lost to the seconds that remain for them to be
    written again.
    """

    revision: Revision
    entries: Mapping[str, int]
    held: Mapping[str, float]


class EvacuationTable:
    """The evacuated zones; an older table never replaces a newer one.

    In a new era of the store, zones whose entries it has lost are held, and
    entries that were removed in the seconds that it has lost stay so.
    """

    def __init__(self) -> None:
        """Start without any zone."""
        self.revision = Revision()
        self._entries: dict[str, int] = {}
        # Until when zones without an entry are held.
        self._held: dict[str, float] = {}
        # Revisions of the entries that were removed.
        self._removed: dict[str, int] = {}
        # An entry of the current era up to this revision may be of the copy.
        self._era_start = 0

    @property
    def zones(self) -> frozenset[str]:
        """The zones that get no requests."""
        return frozenset((*self._entries, *self._held))

    def replace(
        self, revision: Revision, entries: Mapping[str, int], now: float
    ) -> None:
        """Replace the table unless a newer one is known."""
        if revision <= self.revision:
            return
        missing = self.zones - entries.keys()
        if revision.era > self.revision.era:
            self._era_start = revision.number
            self._held = dict.fromkeys(missing, now + HOLD_SECONDS)
        else:
            self._removed |= {
                name: self._entries[name]
                for name in missing & self._entries.keys()
            }
            self._held = {
                name: end for name, end in self._held.items() if name in missing
            }
        self.revision = revision
        self._entries = {
            zone: number
            for zone, number in entries.items()
            if not self._was_removed(zone, number)
        }

    def apply_changes(
        self, revision: Revision, changes: Mapping[str, int | None]
    ) -> None:
        """Apply the revisions of written entries, None for a removed one."""
        if revision <= self.revision or revision.era != self.revision.era:
            return
        self.revision = revision
        for zone, number in changes.items():
            self._held.pop(zone, None)
            known = self._entries.pop(zone, None)
            if number is not None:
                self._entries[zone] = number
            elif known is not None:
                self._removed[zone] = known

    def drop_expired(self, now: float) -> tuple[str, ...]:
        """Drop held zones that were not written again in time."""
        expired = tuple(zone for zone, end in self._held.items() if end <= now)
        for zone in expired:
            self._held.pop(zone)
        return expired

    def make_snapshot(self, now: float) -> EvacuationSnapshot:
        """Return the table for another VM."""
        return EvacuationSnapshot(
            revision=self.revision,
            entries=dict(self._entries),
            held={zone: end - now for zone, end in self._held.items()},
        )

    def apply_snapshot(self, snapshot: EvacuationSnapshot, now: float) -> None:
        """Apply the table of another VM if it is newer."""
        if snapshot.revision <= self.revision:
            return
        self.replace(snapshot.revision, snapshot.entries, now)
        for zone, remaining in snapshot.held.items():
            if zone not in self._entries:
                self._held[zone] = now + min(remaining, HOLD_SECONDS)

    def _was_removed(self, zone: str, number: int) -> bool:
        return number <= self._era_start and self._removed.get(zone) == number
