"""Model of accepted changes: two operators, two VMs and one store.

Guards against accepted changes that are lost, and outcomes that are reported
wrongly. `left` goes through VM one and `right` through VM two, both to replace
revision 1. Writes may be lost, delayed, or lose their replies. The store may
be restored to its previous content once. VM two may restart empty, as long as
VM one has all that it had.
"""

from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from tests.models.reports import (
    explore,
    list_broken,
    report_model,
    report_variants,
)
from toucanhall.catalogue.holder import Verdict, get_verdict
from toucanhall.spread import comparison, freshness
from toucanhall.spread.acceptance import (
    Attempt,
    BaseVerdict,
    Known,
    ReadSucceeded,
    Step,
    WriteFailed,
    WriteSucceeded,
    WriteUncertain,
    check_base,
    decide_step,
)
from toucanhall.spread.comparison import Comparison
from toucanhall.spread.record import Record, make_successor

BASE = Record(1, 'base')
SETTLED = freshness.Freshness(0, settled=True, as_of=0)
VIA = {'left': 'one', 'right': 'two'}
ENDS = frozenset((Step.ACCEPTED, Step.CONFLICT, Step.REFUSED, Step.UNKNOWN))
MAX_STATES = 2_000_000


class Operator(NamedTuple):
    """A change: its next step, attempt and content; a delayed write of it."""

    step: Step | None = None
    attempt: Attempt | None = None
    content: Record | None = None
    is_late: bool = False
    told_behind: bool = False


class State(NamedTuple):
    """The store, the records of the VMs, and what was observed so far."""

    stored: Record = BASE
    version: int = 1
    earlier: Record | None = None
    has_forgotten: bool = False
    one: Record = BASE
    two: Record = BASE
    evidence: freshness.Freshness = SETTLED
    has_restarted: bool = False
    left: Operator = Operator()
    right: Operator = Operator()
    served: Known = Known(1, 'base')
    went_back: bool = False


class Rules(NamedTuple):
    """The functions under test; a variant replaces one."""

    get_verdict: object = get_verdict
    check_base: object = check_base
    decide_step: object = decide_step
    required_sources: int = freshness.REQUIRED_SOURCES_COUNT
    forgets: str = 'known'


def rank(record):
    """Return the sort key of a record in the order of revisions."""
    return Known(record.number, record.change)


def changes(record):
    """Return the change ids of a record and of its history."""
    return {*record.history, record.change}


def list_steps(state, rules):
    """Yield the possible next transitions."""
    for name in VIA:
        yield from run_operator(state, rules, name)
    for vm in ('one', 'two'):
        yield f'{vm} watches', watch(state, rules, vm)
    yield 'one hears two', offer_record(state, rules, 'one', state.two)
    yield 'two hears one', query_first_vm(state, rules)
    if can_forget(state, rules):
        forgotten = state._replace(
            stored=state.earlier,
            version=state.version + 1,
            has_forgotten=True,
        )
        yield 'store comes back older', forgotten
    if not state.has_restarted and rank(state.one) >= rank(state.two):
        started = freshness.begin(0)._replace(
            required_sources=rules.required_sources
        )
        yield (
            'two restarts',
            state._replace(
                two=Record(),
                evidence=started,
                has_restarted=True,
            ),
        )


def can_forget(state, rules):
    """Return whether the store may be restored to older content now."""
    if state.has_forgotten or state.earlier is None:
        return False
    known = state.one == state.two == state.stored
    return rules.forgets == 'sudden' or (rules.forgets == 'known' and known)


def run_operator(state, rules, name):
    """Yield the transitions of one change."""
    operator = getattr(state, name)
    if operator.step is None:
        yield f'{name} reads', start_change(state, rules, name)
    elif operator.step is Step.WRITE:
        yield from write(state, rules, name)
    elif operator.step is Step.READ:
        found = ReadSucceeded(state.version, state.stored)
        yield f'{name} reads back', advance(state, rules, name, found)
    if operator.is_late:
        late = state._replace(**{name: operator._replace(is_late=False)})
        yield f'{name} late write is lost', late
        if state.version == operator.attempt.version:
            yield f'{name} late write lands', store(late, operator.content)


def start_change(state, rules, name):
    """Check the base; VM two accepts no change before it is settled."""
    vm = VIA[name]
    if vm == 'two' and not freshness.is_settled(state.evidence, 0):
        return state
    held = getattr(state, vm)
    verdict = rules.check_base(1, name, rank(held), state.stored)
    if verdict is BaseVerdict.STORE_BEHIND:
        return state
    if verdict is not BaseVerdict.OPEN:
        return state._replace(**{name: Operator(Step.CONFLICT)})
    content = make_successor(state.stored, state.stored.number + 1, name, b'')
    attempt = Attempt(name, state.stored.change, state.version)
    return state._replace(**{name: Operator(Step.WRITE, attempt, content)})


def write(state, rules, name):
    """Yield the possible results of one conditional write."""
    operator = getattr(state, name)
    next_state = partial(advance, rules=rules, name=name)
    if state.version == operator.attempt.version:
        done = store(state, operator.content)
        yield f'{name} writes', next_state(done, event=WriteSucceeded())
        yield (
            f'{name} writes, reply lost',
            next_state(done, event=WriteUncertain()),
        )
        late = state._replace(**{name: operator._replace(is_late=True)})
        yield (
            f'{name} write is delayed',
            next_state(late, event=WriteUncertain()),
        )
    else:
        yield (
            f'{name} conflicts',
            next_state(state, event=WriteFailed(conflict=True)),
        )
    yield (
        f'{name} is not sent',
        next_state(state, event=WriteFailed(conflict=False)),
    )


def advance(state, rules, name, event):
    """Apply an event to a change; an accepted one is in force at its VM."""
    operator = getattr(state, name)
    attempt, step = rules.decide_step(operator.attempt, event)
    state = state._replace(
        **{name: operator._replace(attempt=attempt, step=step)},
    )
    if step is Step.ACCEPTED:
        return offer_record(state, rules, VIA[name], operator.content)
    return state


def store(state, content):
    """Write a record to the store."""
    return state._replace(
        stored=content,
        version=state.version + 1,
        earlier=state.stored,
    )


def offer_record(state, rules, vm, record):
    """Offer a record to a VM; record whether its revision went back."""
    held = getattr(state, vm)
    known = held if held.number else None
    verdict = rules.get_verdict(known, record.number, record.change)
    if record.number and verdict in {Verdict.TAKE, Verdict.REPLACE}:
        went_back = rank(record) < rank(held)
        state = state._replace(
            **{vm: record},
            went_back=state.went_back or went_back,
        )
    return record_served(state)


def record_served(state):
    """Record the newest revision that VM two served, across its restarts."""
    if not freshness.is_settled(state.evidence, 0):
        return state
    return state._replace(
        went_back=state.went_back or rank(state.two) < state.served,
        served=max(state.served, rank(state.two)),
    )


def watch(state, rules, vm):
    """Read the store; older content is replaced by the held record."""
    held = getattr(state, vm)
    if rank(state.stored) < rank(held):
        return store(state, held)
    state = offer_record(state, rules, vm, state.stored)
    return record_evidence(state, freshness.STORE) if vm == 'two' else state


def record_evidence(state, source):
    """Record evidence of VM two; sources count only until it is settled."""
    if freshness.is_settled(state.evidence, 0):
        return state
    updated = freshness.record_evidence(state.evidence, 0, source, 0)
    return record_served(state._replace(evidence=updated))


def query_first_vm(state, rules):
    """Let VM two query VM one, which offers its newer revision."""
    state = offer_record(state, rules, 'two', state.one)
    if freshness.is_settled(state.evidence, 0):
        return state
    start = Comparison(state.evidence, {})
    asking, query = comparison.make_query(start, rank(state.two), '', 0)
    answer = comparison.make_answer(
        Comparison(SETTLED, {}), rank(state.one), query, 0
    )
    compared = comparison.receive_answer(
        asking, rank(state.two), answer, 'one', 0
    )
    return record_served(state._replace(evidence=compared.freshness))


def is_kept(fields):
    """Return whether every accepted change is part of the newest revision."""
    newest = max((fields['stored'], fields['one'], fields['two']), key=rank)
    return all(
        name in changes(newest)
        for name in VIA
        if fields[name].step is Step.ACCEPTED
    )


def is_refusal_true(fields):
    """Return whether no change that was reported as not written exists."""
    return not any(
        name in changes(fields[place])
        for name in VIA
        if fields[name].step in {Step.CONFLICT, Step.REFUSED}
        for place in ('stored', 'one', 'two')
    )


def is_unique(fields):
    """Return whether VMs with the same number hold the same change."""
    first, second = fields['one'], fields['two']
    return first.number != second.number or first.change == second.change


def check(**variant):
    """Explore the complete state space with the rules of a variant."""
    rules = Rules(**variant)
    protocol = Protocol(
        name='spread',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda fields: [
            (label, tuple(after))
            for label, after in list_steps(State(*fields), rules)
            if tuple(after) != fields
        ],
        invariants={
            'never_back': lambda fields: not fields['went_back'],
            'kept': is_kept,
            'true': is_refusal_true,
            'unique': is_unique,
        },
    )
    return explore(protocol, MAX_STATES)


def test_changes_are_kept_and_told_truly():
    checked = check()
    report_model('spread', checked)
    assert not list_broken(checked)


def test_store_that_forgets_before_a_second_vm_heard_is_the_known_limit():
    checked = check(forgets='sudden')
    report_model('spread store forgets', checked)
    report_variants('spread store forgets', checked)
    assert list_broken(checked) == {'kept', 'true', 'unique'}


def test_order_of_revisions_is_needed():
    def take_any(_held, _number, _change):
        return Verdict.TAKE

    checked = check(get_verdict=take_any)
    report_variants('spread take_any', checked)
    assert 'never_back' in list_broken(checked)


def test_second_source_is_needed_after_a_start():
    checked = check(required_sources=1)
    report_variants('spread needed_1', checked)
    assert 'never_back' in list_broken(checked)


def test_repair_before_a_change_is_needed():
    def check_loosely(expected, change, _known, stored):
        return check_base(expected, change, Known(), stored)

    checked = check(check_base=check_loosely)
    report_variants('spread check_loosely', checked)
    assert 'unique' in list_broken(checked)


def test_second_write_against_a_delayed_one_is_needed():
    def give_up(attempt, event):
        attempt, step = decide_step(attempt, event)
        is_again = isinstance(event, ReadSucceeded) and step is Step.WRITE
        return attempt, Step.CONFLICT if is_again else step

    checked = check(decide_step=give_up)
    report_variants('spread give_up', checked)
    assert 'true' in list_broken(checked)


def test_history_of_change_ids_is_needed():
    def forget(attempt, event):
        if isinstance(event, ReadSucceeded):
            record = event.record._replace(history=())
            attempt, step = decide_step(attempt, event._replace(record=record))
            is_foreign = step in {Step.READ, Step.UNKNOWN}
            return attempt, Step.CONFLICT if is_foreign else step
        return decide_step(attempt, event)

    checked = check(decide_step=forget)
    report_variants('spread forget', checked)
    assert 'true' in list_broken(checked)
