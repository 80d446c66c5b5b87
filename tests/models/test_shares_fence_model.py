"""Model of the fence of a slot: holder, takers, voters and a lossy store.

Three holders; one may lose its slot to the others although it still runs, and
one of these may restart. Time is a clock that stands between steps, so that a
holder that takes no step is paused, and a store that is not called is out.
Times are relative to the present, and lapsed ones are alike: the space is
finite without a horizon. Answers to a taker are lost or come at once, since
what they tell stays true; the answer to the holder also comes late and often.
"""

from typing import NamedTuple
from unittest import mock

import pytest
from minicheck import Protocol

from tests.models.reports import explore, report_model, report_variant
from toucanhall.shares import Holding, Table, fence
from toucanhall.shares.fence import CONFIRM_SECONDS, Fence
from toucanhall.shares.messages import Acknowledgement, Probe

TICK = fence.WAIT_SECONDS / 2
SLOT = 0  # of the holder; others count as usable at once, which allows more
NAMES = ('holder', 'near', 'far')
HOLDER, NEAR, FAR = (Holding(name, 's1') for name in NAMES)
RESTARTED = Holding('near', 's2')
FIRST = Table({SLOT: HOLDER, 1: NEAR, 2: FAR}, 1, (HOLDER, NEAR, FAR))
LAST_NUMBER = 3
MAX_STATES = 400000


class State(NamedTuple):
    """The store, the holders, and one answer on its way to the holder."""

    stored: Table
    holder: Fence
    near: Fence
    far: Fence
    answer: tuple[Holding, Acknowledgement] | None = None


def freeze(found):
    """Return a hashable form in which lapsed times are alike."""
    is_victim = found.own == HOLDER
    is_confirmed = is_victim and is_recent(found.read_at)
    heard = sort_heard(found.heard, found.table.number)
    return found._replace(
        table=freeze_table(found.table),
        read_at=found.read_at if is_confirmed else None,
        votes=sort(found.votes, is_recent) if is_victim else (),
        heard=() if is_victim else heard,
        waiting=tuple(
            (slot, None if until is None else max(0.0, until))
            for slot, until in sorted(found.waiting.items())
            if slot == SLOT
        ),
    )


def is_recent(at):
    """Return whether a time has not lapsed at the present, which is 0."""
    return at is not None and at > -CONFIRM_SECONDS


def sort(times, keeps):
    """Return times by name that are to be kept."""
    return tuple(sorted((key, at) for key, at in times.items() if keeps(at)))


def sort_heard(heard, number):
    """Return what peers said, without what is as good as unheard."""
    return tuple(
        (vm, found)
        for vm, found in sorted(heard.items())
        if found.number >= number or found.start != 's1'
    )


def freeze_table(table):
    """Return a hashable form of a table."""
    return tuple(sorted(table.holdings.items())), table.number, table.previous


def thaw(frozen):
    """Return the fence of a hashable form."""
    return frozen._replace(
        table=thaw_table(frozen.table),
        votes=dict(frozen.votes),
        heard=dict(frozen.heard),
        waiting=dict(frozen.waiting),
    )


def thaw_table(frozen):
    """Return the table of a hashable form."""
    return Table(dict(frozen[0]), frozen[1], frozen[2])


def freeze_answer(answer, own):
    """Return a hashable form of the answer on its way, if it is of use."""
    if answer is None or not is_recent(answer[1].asked_at):
        return None
    peer, known = answer
    if freeze(fence.hear_known(own, peer, known, 0)) == freeze(own):
        return None
    table = known.table and freeze_table(known.table)
    return peer, known._replace(table=table)


def thaw_answer(frozen):
    """Return the answer of a hashable form."""
    if frozen is None:
        return None
    peer, known = frozen
    return peer, known._replace(table=known.table and thaw_table(known.table))


def pack(state):
    """Return a state of the checker."""
    fences = (freeze(found) for found in (state.holder, state.near, state.far))
    return (
        freeze_table(state.stored),
        *fences,
        freeze_answer(state.answer, state.holder),
    )


def unpack(fields):
    """Return the state of a checker's state."""
    stored, *fences, answer = fields
    return State(
        thaw_table(stored), *map(thaw, fences), thaw_answer(answer),
    )  # fmt: skip


def list_steps(state):
    """Yield what can happen next."""
    yield 'time passes', pass_time(state)
    for name in NAMES:
        own = getattr(state, name)
        read = fence.note_read(own, state.stored, 0, 0)
        yield f'{name} reads', state._replace(**{name: read})
    yield from list_answers(state)
    for name in NAMES[1:]:
        yield from list_writes(state, name)
        yield from list_told(state, name)
    if state.near.own == NEAR:
        yield 'near restarts', state._replace(near=Fence(RESTARTED))


def pass_time(state):
    """Let the clock of all advance; the present stays 0."""
    fences = {name: age(getattr(state, name)) for name in NAMES}
    answer = state.answer
    if answer is not None:
        asked_at = answer[1].asked_at - TICK
        answer = answer[0], answer[1]._replace(asked_at=asked_at)
    return state._replace(**fences, answer=answer)


def age(found):
    """Return a fence after a tick."""
    return found._replace(
        read_at=None if found.read_at is None else found.read_at - TICK,
        votes={peer: at - TICK for peer, at in found.votes.items()},
        waiting={
            slot: None if until is None else until - TICK
            for slot, until in found.waiting.items()
        },
    )


def list_answers(state):
    """Let peers answer the holder; the answer arrives late, twice or never."""
    for name in NAMES[1:]:
        peer = getattr(state, name)
        probe = Probe(0, state.holder.table.number, state.holder.table)
        told, known = fence.answer_probe(peer, HOLDER.start, probe, 1, 0)
        yield (
            f'{name} answers',
            state._replace(**{name: told}, answer=(peer.own, known)),
        )
    if state.answer is not None:
        heard = fence.hear_known(state.holder, *state.answer, 0)
        yield 'holder hears', state._replace(holder=heard)


def list_writes(state, name):
    """Let a taker write what it plans, with or without a reply."""
    own = getattr(state, name)
    if own.table.number != state.stored.number:
        return
    for live in (set(NAMES), set(NAMES[1:])):
        planned = fence.plan(own, frozenset(live), 3, 0)
        if planned == own.table or planned.number > LAST_NUMBER:
            continue
        written = state._replace(stored=planned)
        free = frozenset(planned.holdings) - frozenset(own.table.holdings)
        adopted = fence.adopt(own, planned, 0, free)
        yield (
            f'{name} writes with {len(live)} live',
            written._replace(**{name: adopted}),
        )
        yield f'{name} writes with {len(live)} live, reply lost', written


def list_told(state, name):
    """Let a taker tell its table to a peer and hear that it did."""
    own = getattr(state, name)
    for other in NAMES:
        if other == name:
            continue
        probe = Probe(0, own.table.number, own.table)
        peer = getattr(state, other)
        told, known = fence.answer_probe(peer, own.own.start, probe, 1, 0)
        heard = fence.hear_known(own, told.own, known, 0)
        yield (
            f'{name} tells {other}',
            state._replace(**{other: told, name: heard}),
        )
        yield f'{name} tells {other}, lost', state._replace(**{other: told})


def is_held_once(fields):
    """Return whether no other uses a slot while the holder does."""
    state = unpack(tuple(fields.values()))
    until = fence.read_until(state.holder)
    if until is None or until <= 0:
        return True
    used = fence.find_usable(state.holder, 0)
    return not any(
        used & fence.find_usable(other, 0) for other in (state.near, state.far)
    )


def check():
    """Check that each slot has one user at a time; stop at a fault."""
    faults = []

    def expand(fields):
        if faults:
            return []
        return [
            (label, pack(after)) for label, after in list_steps(unpack(fields))
        ]

    def judge(fields):
        held = is_held_once(fields)
        if not held:
            faults.append(fields)
        return held

    start = State(
        FIRST, *(Fence(holder, FIRST) for holder in (HOLDER, NEAR, FAR))
    )
    protocol = Protocol(
        name='fence',
        candidate=False,
        fields=State._fields,
        initial=pack(start),
        transitions=expand,
        invariants={'held_once': judge},
    )
    return explore(protocol, MAX_STATES)


def test_slot_has_one_user_at_a_time():
    checked = check()
    report_model('fence', checked)
    assert checked['properties']['held_once']['holds'] is True


def confirm_on_arrival(own, peer, known, now):
    """Count a vote from its arrival."""
    return HEAR(own, peer, known._replace(asked_at=now), now)


def forget_told(own, start, probe, revision, now):
    """Answer a probe as if its table was known, but do not keep it."""
    _, known = ANSWER(own, start, probe, revision, now)
    return own, known


HEAR = fence.hear_known
ANSWER = fence.answer_probe


@pytest.mark.parametrize(
    ('guard', 'broken'),
    [
        ('WAIT_SECONDS', 0),
        ('is_told', lambda _fence: True),
        ('hear_known', confirm_on_arrival),
        ('answer_probe', forget_told),
    ],
)
def test_each_guard_is_needed(guard, broken):
    with mock.patch.object(fence, guard, broken):
        found = check()['properties']['held_once']
    report_variant(f'fence {guard}', found)
    assert found['holds'] is False
