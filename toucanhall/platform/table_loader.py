"""Decodes the tables of the store and loads them into the VM's tables."""

from collections.abc import Callable
from typing import Final

from toucanhall.fleet.model import Target
from toucanhall.fleet.suspects import Suspect
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
    decode_target,
)
from toucanhall.platform.store import Table
from toucanhall.platform.store_objects import Change
from toucanhall.platform.suspect_documents import decode_suspect

__all__ = ('WATCHED_KINDS', 'TableLoader')

WATCHED_KINDS: Final = (
    names.CONFIGURATION_KIND,
    names.TARGET_KIND,
    names.EVACUATION_KIND,
    names.SUSPECT_KIND,
)


class TableLoader:
    """Loads objects by their kind; invalid ones are logged and skipped."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        journal: Journal,
        clock: Callable[[], float],
    ) -> None:
        """Load decoded objects into `fleet_tables`."""
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._clock = clock
        self._loaders: dict[str, Callable[[Table, bool], None]] = {
            names.CONFIGURATION_KIND: self._load_configurations,
            names.TARGET_KIND: self._load_targets,
            names.EVACUATION_KIND: self._load_evacuations,
            names.SUSPECT_KIND: self._load_suspects,
        }

    def take(self, kind: str, table: Table, *, is_whole: bool) -> None:
        """Replace a whole table, or apply changes to it."""
        for why in table.unnamed:
            self._journal.write(events.ENTRY_IGNORED, why=why)
        self._loaders[kind](table, is_whole)

    def _load_configurations(self, table: Table, _is_whole: bool) -> None:
        for change in table.changes:
            if change.name != names.CONFIGURATION_NAME or change.spec is None:
                continue
            try:
                configuration = decode_configuration(change.spec)
            except InvalidDocumentError as error:
                self._journal.write(events.ENTRY_IGNORED, why=str(error))
            else:
                self._fleet_tables.replace_configuration(configuration)

    def _load_targets(self, table: Table, is_whole: bool) -> None:
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
            name: target
            for name, target in decoded.items()
            if isinstance(target, Target)
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

    def _load_evacuations(self, table: Table, is_whole: bool) -> None:
        changes = {
            change.name: None if change.spec is None else change.revision
            for change in table.changes
        }
        if not is_whole:
            self._fleet_tables.apply_evacuation_changes(table.revision, changes)
            return
        entries = {
            zone: revision
            for zone, revision in changes.items()
            if revision is not None
        }
        self._fleet_tables.replace_evacuations(
            table.revision, entries, self._clock()
        )

    def _load_suspects(self, table: Table, is_whole: bool) -> None:
        changes = {
            change.name: self._decode_suspect(change)
            for change in table.changes
        }
        if not is_whole:
            self._fleet_tables.apply_suspect_changes(
                table.revision, changes, self._clock()
            )
            return
        suspects = {
            name: suspect
            for name, suspect in changes.items()
            if suspect is not None
        }
        self._fleet_tables.replace_suspects(
            table.revision, suspects, self._clock()
        )

    def _decode_suspect(self, change: Change) -> Suspect | None:
        if change.spec is None:
            return None
        try:
            return decode_suspect(change.name, change.spec, change.revision)
        except InvalidDocumentError as error:
            self._journal.write(events.ENTRY_IGNORED, why=str(error))
            return None
