"""Model of the tables that VMs read from the store and pass on to each other.

Three VMs: one watches the store, the others take snapshots from any VM. The
operator writes configurations, a target registers and leaves; calls to the
store are answered whole or lost. A snapshot stays under way for good, so it can
come late, twice and out of order. A VM may start again and then knows nothing.

The model runs `Knowledge` itself, built anew from each state.
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
from toucanhall.fleet.knowledge import Knowledge, Revisions
from toucanhall.fleet.model import ClientLimits, Configuration, Snapshot

VMS = 3
WATCHER = 0
MOST_REVISION = 4
MOST_STARTS = 2
TARGET = 't1'
LIMITS = ClientLimits(1, 1, 1.0, 1.0)


class Known(NamedTuple):
    """What a VM knows; `peak` is the most it knew since its start."""

    configuration: int = 0
    targets: int = 0
    has_target: bool = False
    peak: tuple[int, int] = (0, 0)


class State(NamedTuple):
    """The store, the VMs, snapshots under way, and starts so far."""

    revision: int = 1
    configuration: int = 1
    # Store revision of the last change of the target, and whether it is there.
    target: tuple[int, bool] = (1, True)
    vms: tuple[Known, ...] = (Known(),) * VMS
    sent: frozenset[Known] = frozenset()
    starts: int = 0


def make_configuration(revision):
    """Return the configuration that was written at a revision."""
    return Configuration(revision, {}, {}, {}, {}, LIMITS)


def restore(known, make):
    """Return the knowledge of a VM in a state."""
    knowledge = make(on_change=lambda _table: None)
    if known.configuration:
        knowledge.configuration = make_configuration(known.configuration)
    if known.has_target:
        knowledge.targets = {TARGET: make_target(TARGET)}
    knowledge.revisions = Revisions(known.configuration, known.targets, 0)
    return knowledge


def read(knowledge, before):
    """Return what a VM knows after a step."""
    found = knowledge.configuration
    version = found.version if found else 0
    targets = knowledge.revisions.targets
    peak = (max(before.peak[0], version), max(before.peak[1], targets))
    return Known(version, targets, TARGET in knowledge.targets, peak)


def put(state, index, known):
    """Return the state with what one VM knows replaced."""
    vms = list(state.vms)
    vms[index] = known
    return state._replace(vms=tuple(vms))


def list_steps(state, make):
    """Yield what can happen next."""
    if state.revision < MOST_REVISION:
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
    yield 'watcher reads', watch(state, make)
    for index, known in enumerate(state.vms):
        if known.peak != (0, 0):
            sent = state.sent | {known._replace(peak=(0, 0))}
            yield f'VM {index} sends', state._replace(sent=sent)
        if known.peak != (0, 0) and state.starts < MOST_STARTS:
            again = put(state, index, Known())
            yield f'VM {index} starts', again._replace(starts=state.starts + 1)
        for found in state.sent:
            yield f'VM {index} takes', take(state, index, found, make)


def watch(state, make):
    """Let the watching VM read whole tables of the store."""
    known = state.vms[WATCHER]
    knowledge = restore(known, make)
    knowledge.take_configuration(
        state.configuration,
        make_configuration(state.configuration),
    )
    is_there = state.target[1]
    targets = {TARGET: make_target(TARGET)} if is_there else {}
    knowledge.take_targets(state.revision, targets, 0.0)
    return put(state, WATCHER, read(knowledge, known))


def take(state, index, found, make):
    """Let a VM take a snapshot that another one sent."""
    known = state.vms[index]
    knowledge = restore(known, make)
    has_configuration = bool(found.configuration)
    knowledge.take_snapshot(
        Snapshot(
            configuration_revision=found.configuration,
            configuration=make_configuration(found.configuration)
            if has_configuration
            else None,
            targets_revision=found.targets,
            targets={TARGET: make_target(TARGET)} if found.has_target else {},
            lapsed={},
            evacuations_revision=0,
            evacuated=frozenset(),
        ),
        0.0,
    )
    return put(state, index, read(knowledge, known))


def never_regresses(state):
    """Whether no VM knows less than it did since its start."""
    return all(
        (known.configuration, known.targets) == known.peak
        for known in state.vms
    )


def agrees_with_the_store(state):
    """Whether each VM that heard of the last change took it rightly."""
    changed_at, is_there = state.target
    return all(
        known.has_target == is_there
        for known in state.vms
        if known.targets >= changed_at
    )


def check(make):
    """Check the complete state space with one kind of knowledge."""
    protocol = Protocol(
        name='tables',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda fields: [
            (label, tuple(after))
            for label, after in list_steps(State(*fields), make)
        ],
        invariants={
            'never regresses': lambda fields: never_regresses(State(**fields)),
            'agrees': lambda fields: agrees_with_the_store(State(**fields)),
        },
    )
    return explore(protocol, max_states=2_000_000)


class TakesAnySnapshot(Knowledge):
    """A variant in which the snapshot of a peer replaces what is known."""

    def take_snapshot(self, snapshot, now):
        """Forget the revisions that are known, then take the snapshot."""
        self.revisions = Revisions()
        self.configuration = None
        super().take_snapshot(snapshot, now)


class TrustsTheChange(Knowledge):
    """A variant that takes the revision of a snapshot without its targets."""

    def take_snapshot(self, snapshot, now):
        """Keep the targets that are known."""
        kept = snapshot._replace(targets=self.targets)
        super().take_snapshot(kept, now)


def test_no_table_regresses_and_what_left_does_not_return():
    checked = check(Knowledge)
    report_model('tables', checked)
    assert not list_broken(checked)


@pytest.mark.parametrize(
    ('variant', 'broken'),
    ((TakesAnySnapshot, 'never regresses'), (TrustsTheChange, 'agrees')),
)
def test_variant_is_found_broken(variant, broken):
    checked = check(variant)
    report_variants(f'tables {variant.__name__}', checked)
    assert broken in list_broken(checked)
