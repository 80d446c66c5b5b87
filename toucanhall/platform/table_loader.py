"""Takes tables of the store into what the VM knows."""

from collections.abc import Callable
from typing import Final

from toucanhall.fleet.tables import FleetTables
from toucanhall.fleet.model import Target
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
    decode_target,
)
from toucanhall.platform.store import Change, Table

__all__ = ('WATCHED_KINDS', 'TableLoader')

WATCHED_KINDS: Final = (
    names.CONFIGURATION_KIND,
    names.TARGET_KIND,
    names.EVACUATION_KIND,
)


class TableLoader:
    """Decodes objects by their kind; what cannot be read is passed over."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        journal: Journal,
        clock: Callable[[], float],
    ) -> None:
        """Write what is decoded into `fleet_tables`."""
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._clock = clock
        self._takers: dict[str, Callable[[Table, bool], None]] = {
            names.CONFIGURATION_KIND: self._take_configurations,
            names.TARGET_KIND: self._take_targets,
            names.EVACUATION_KIND: self._take_evacuations,
        }

    def take(self, kind: str, table: Table, *, is_whole: bool) -> None:
        """Take a whole table, or what has changed in it."""
        self._takers[kind](table, is_whole)

    def _take_configurations(self, table: Table, _is_whole: bool) -> None:
        for change in table.changes:
            if change.name != names.CONFIGURATION_NAME or change.spec is None:
                continue
            try:
                configuration = decode_configuration(change.spec)
            except InvalidDocumentError as error:
                self._journal.write(events.ENTRY_IGNORED, why=str(error))
            else:
                self._fleet_tables.replace_configuration(
                    change.revision,
                    configuration,
                )

    def _take_targets(self, table: Table, is_whole: bool) -> None:
        decoded = {
            change.name: self._decode_target(change) for change in table.changes
        }
        if not is_whole:
            self._fleet_tables.apply_target_changes(
                table.revision,
                decoded,
                self._clock(),
            )
            return
        targets = {
            name: found
            for name, found in decoded.items()
            if isinstance(found, Target)
        }
        self._fleet_tables.replace_targets(
            table.revision, targets, self._clock()
        )

    def _decode_target(self, change: Change) -> Target | int:
        if change.spec is None:
            return change.revision
        try:
            return decode_target(change.name, change.spec, change.revision)
        except InvalidDocumentError as error:
            self._journal.write(events.ENTRY_IGNORED, why=str(error))
            return change.revision

    def _take_evacuations(self, table: Table, is_whole: bool) -> None:
        zones = {
            change.name: change.spec is not None for change in table.changes
        }
        if is_whole:
            self._fleet_tables.replace_evacuations(table.revision, zones)
        else:
            self._fleet_tables.apply_evacuation_changes(table.revision, zones)
