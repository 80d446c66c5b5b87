"""Model of the tables that VMs read from the store and send to each other.

It guards against a VM that goes back to an older table, or that keeps a
deleted target, when snapshots come late, twice or out of order.

Three VMs: one watches the store, the others apply snapshots from any VM. The
operator writes configurations, a target registers and leaves; the watcher
reads whole tables or receives changes, or its call is lost. A snapshot is made
for a VM that knows some revision: whole tables, or what has changed since. It
is never consumed, so it can arrive at any time, more than once and at any VM.
A VM may start again and then knows nothing.

The model runs `FleetTables` itself, built anew from each state.
"""

from typing import NamedTuple

import pytest
from minicheck import Protocol

from tests.fleetdata import make_target
from tests.models.reports import (
    explore,
    list_broken,
    report_model,
    report_variants,
)
from toucanhall.fleet.evacuations import EvacuationSnapshot
from toucanhall.fleet.model import ClientLimits, Configuration, Snapshot
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.suspects import SuspectSnapshot
from toucanhall.fleet.tables import FleetTables

VM_COUNT = 3
WATCHER = 0
MAX_REVISION = 4
MAX_REVISION_OF_VARIANTS = 3
MAX_STARTS = 1
MAX_SNAPSHOTS = 2
TARGET = 't1'
LIMITS = ClientLimits(1, 1, 1.0, 1.0)


class Known(NamedTuple):
    """What a VM knows; `peak` has its newest revisions since its start.

    `target` is the revision of the target, 0 if it is not in the table;
    `removed` that of its removal, 0 without one. All removals after the
    revision `since` are known.
    """

    configuration: int = 0
    targets: int = 0
    target: int = 0
    since: int = 0
    removed: int = 0
    peak: tuple[int, int] = (0, 0)


class Sent(NamedTuple):
    """A snapshot in transit; `target` and `removed` are as in `Known`.

    It has the changes after `since`, or the whole table if that is 0.
    """

    configuration: int
    targets: int
    since: int
    target: int
    removed: int


class State(NamedTuple):
    """The store, the VMs, snapshots in transit, and starts so far."""

    revision: int = 1
    configuration: int = 1
    # Store revision of the target's last change, and whether it is registered.
    target: tuple[int, bool] = (1, True)
    vms: tuple[Known, ...] = (Known(),) * VM_COUNT
    sent: frozenset[Sent] = frozenset()
    starts: int = 0


def make_configuration(revision):
    """Return the configuration that was written at a revision."""
    return Configuration(revision, {}, {}, {}, {}, LIMITS)


def restore(known, make):
    """Return the tables of a VM, built from what it knows in a state."""
    fleet_tables = make(on_change=lambda _table: None)
    if known.configuration:
        fleet_tables.configuration = make_configuration(known.configuration)
    if known.target:
        fleet_tables.targets = make_table(known.target)
    fleet_tables.removals.restart(known.since)
    if known.removed:
        fleet_tables.removals.record(TARGET, known.removed)
    fleet_tables.revisions = Revisions(
        known.configuration, make_revision(known.targets)
    )
    return fleet_tables


def make_revision(number):
    """Return a revision of the store, or that of a VM that knows none."""
    return Revision(1, number) if number else Revision()


def make_table(revision):
    """Return the table with the target as written at a revision, if any."""
    if not revision:
        return {}
    return {TARGET: make_target(TARGET, revision=revision)}


def read(fleet_tables, before):
    """Return what a VM knows after a step."""
    found = fleet_tables.configuration
    version = found.version if found else 0
    targets = fleet_tables.revisions.targets.number
    return Known(
        version,
        targets,
        find_revision(fleet_tables.targets),
        find_earliest_revision(fleet_tables.removals),
        fleet_tables.removals.list_since(0).get(TARGET, 0),
        (max(before.peak[0], version), max(before.peak[1], targets)),
    )


def find_revision(targets):
    """Return the revision of the target in a table, 0 if it is not there."""
    return targets[TARGET].revision if TARGET in targets else 0


def find_earliest_revision(removals):
    """Return the first revision since which all removals are known, or 0."""
    revisions = range(1, MAX_REVISION + 1)
    return next(filter(removals.knows_all_since, revisions), 0)


def send(known, asked, make):
    """Return the snapshot for a VM that knows a revision of the targets."""
    snapshot = restore(known, make).make_snapshot(
        Revisions(0, make_revision(asked)), 0.0
    )
    return Sent(
        known.configuration,
        snapshot.targets_revision.number,
        snapshot.targets_since.number,
        find_revision(snapshot.targets),
        snapshot.removed.get(TARGET, 0),
    )


def put(state, index, known):
    """Return the state with what one VM knows replaced."""
    vms = list(state.vms)
    vms[index] = known
    return state._replace(vms=tuple(vms))


def list_steps(state, make, max_revision):
    """Yield the possible next steps, each with the state after it."""
    if state.revision < max_revision:
        after = state.revision + 1
        yield (
            'operator writes a configuration',
            state._replace(revision=after, configuration=after),
        )
        is_there = state.target[1]
        yield (
            'target leaves' if is_there else 'target registers',
            state._replace(revision=after, target=(after, not is_there)),
        )
    yield 'watcher reads', read_store(state, make)
    if state.vms[WATCHER].targets:
        yield 'watcher receives changes', receive_changes(state, make)
    for index, known in enumerate(state.vms):
        if known.peak != (0, 0) and state.starts < MAX_STARTS:
            again = put(state, index, Known())
            yield f'VM {index} starts', again._replace(starts=state.starts + 1)
        for found in state.sent:
            yield f'VM {index} applies', apply(state, index, found, make)
    if len(state.sent) < MAX_SNAPSHOTS:
        yield from list_answers(state, make)


def list_answers(state, make):
    """Yield the answers of each VM to VMs that know an older table."""
    for asked in sorted({known.targets for known in state.vms}):
        for index, known in enumerate(state.vms):
            if known.targets > asked:
                sent = state.sent | {send(known, asked, make)}
                label = f'VM {index} answers one at {asked}'
                yield label, state._replace(sent=sent)


def read_store(state, make):
    """Let the watcher read whole tables from the store."""
    known = state.vms[WATCHER]
    fleet_tables = restore(known, make)
    fleet_tables.replace_configuration(make_configuration(state.configuration))
    changed_at, is_there = state.target
    targets = make_table(changed_at if is_there else 0)
    fleet_tables.replace_targets(make_revision(state.revision), targets, 0.0)
    return put(state, WATCHER, read(fleet_tables, known))


def receive_changes(state, make):
    """Let the watcher receive what has changed in the store."""
    known = state.vms[WATCHER]
    fleet_tables = restore(known, make)
    changed_at, is_there = state.target
    changes = make_table(changed_at) if is_there else {TARGET: changed_at}
    is_new = changed_at > known.targets
    fleet_tables.apply_target_changes(
        make_revision(state.revision), changes if is_new else {}, 0.0
    )
    return put(state, WATCHER, read(fleet_tables, known))


def apply(state, index, found, make):
    """Let a VM apply a snapshot that another one sent."""
    known = state.vms[index]
    fleet_tables = restore(known, make)
    configuration = found.configuration
    fleet_tables.apply_snapshot(
        Snapshot(
            configuration=make_configuration(configuration)
            if configuration
            else None,
            targets_revision=make_revision(found.targets),
            targets_since=make_revision(found.since),
            targets=make_table(found.target),
            removed={TARGET: found.removed} if found.removed else {},
            held_targets={},
            evacuations=EvacuationSnapshot(Revision(), {}, {}),
            suspects=SuspectSnapshot(Revision(), {}),
        ),
        0.0,
    )
    return put(state, index, read(fleet_tables, known))


def never_regresses(state):
    """Whether no VM has an older table than before, since its start."""
    return all(
        (known.configuration, known.targets) == known.peak
        for known in state.vms
    )


def agrees_with_the_store(state):
    """Whether each VM that knows the last change has the store's target."""
    changed_at, is_there = state.target
    expected = changed_at if is_there else 0
    return all(
        known.target == expected
        for known in state.vms
        if known.targets >= changed_at
    )


def check(make, max_revision=MAX_REVISION):
    """Check the complete state space with one class of tables."""
    protocol = Protocol(
        name='tables',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda fields: [
            (label, tuple(after))
            for label, after in list_steps(
                State(*fields),
                make,
                max_revision,
            )
        ],
        invariants={
            'never regresses': lambda fields: never_regresses(State(**fields)),
            'agrees': lambda fields: agrees_with_the_store(State(**fields)),
        },
    )
    return explore(protocol, max_states=2_000_000)


class AppliesOlderSnapshots(FleetTables):
    """A variant in which a snapshot replaces newer tables."""

    def apply_snapshot(self, snapshot, now):
        """Forget the known revisions, then apply the snapshot."""
        self.revisions = Revisions()
        self.configuration = None
        super().apply_snapshot(snapshot, now)


class IgnoresTargetsOfSnapshots(FleetTables):
    """A variant that adopts the revision of a snapshot, not its targets."""

    def apply_snapshot(self, snapshot, now):
        """Replace the targets of the snapshot by the known ones."""
        kept = snapshot._replace(targets=self.targets, removed={})
        super().apply_snapshot(kept, now)


class OmitsRemovals(FleetTables):
    """A variant that sends changes without the removals."""

    def make_snapshot(self, known, now):
        """Leave out the removals."""
        return super().make_snapshot(known, now)._replace(removed={})


class AppliesChangesWithGaps(FleetTables):
    """A variant that applies changes although it lacks earlier ones."""

    def apply_snapshot(self, snapshot, now):
        """Ignore the revision that the changes build on."""
        since = min(snapshot.targets_since, self.revisions.targets)
        super().apply_snapshot(snapshot._replace(targets_since=since), now)


class KeepsRemovalsAcrossTables(FleetTables):
    """A variant that keeps removals although a whole table may hide some."""

    def replace_targets(self, revision, targets, now):
        """Keep the revision since which all removals are known."""
        since = self.removals._since or revision.number
        super().replace_targets(revision, targets, now)
        self.removals.restart(since)


def test_no_table_gets_older_and_no_deleted_target_returns():
    checked = check(FleetTables)
    report_model('tables', checked)
    assert not list_broken(checked)


@pytest.mark.parametrize(
    ('variant', 'broken'),
    (
        (AppliesOlderSnapshots, 'never regresses'),
        (IgnoresTargetsOfSnapshots, 'agrees'),
        (OmitsRemovals, 'agrees'),
        (AppliesChangesWithGaps, 'agrees'),
        (KeepsRemovalsAcrossTables, 'agrees'),
    ),
)
def test_model_finds_the_fault_of_a_variant(variant, broken):
    checked = check(variant, MAX_REVISION_OF_VARIANTS)
    report_variants(f'tables {variant.__name__}', checked)
    assert broken in list_broken(checked)
