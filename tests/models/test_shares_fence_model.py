"""Model of the fence of a slot; guards against two users of one slot.

Three holders: one may lose its slot to the others while it still runs, and one
of the others may restart. The clock stands still between steps: a holder that
takes no step is paused, and a store that is not called is unavailable. Times
are relative to the present and expired times are equal, so the state space is
finite without a time limit. Answers to a taker are lost or arrive at once,
since their content stays true; the answer to the holder may also be late or
duplicated.
"""

from functools import cache
from typing import NamedTuple
from unittest import mock

import pytest
from minicheck import Protocol

from tests.models.reports import explore, report_model, report_variant
from toucanhall.shares import Holding, Table, fence
from toucanhall.shares.fence import CONFIRM_SECONDS, Fence
from toucanhall.shares.messages import Acknowledgement, Probe

TICK = fence.WAIT_SECONDS / 2
SLOT = 0  # of the holder; other slots are usable at once, which allows more
NAMES = ('holder', 'near', 'far')
HOLDER, NEAR, FAR = (Holding(name, 's1') for name in NAMES)
RESTARTED = Holding('near', 's2')
FIRST = Table({SLOT: HOLDER, 1: NEAR, 2: FAR}, 1, (HOLDER, NEAR, FAR))
LAST_NUMBER = 3
MAX_STATES = 400000


class State(NamedTuple):
    """The store, the holders, and one answer in transit to the holder.

    The checker's states contain the numbers of these parts instead.
    """

    stored: Table | int
    holder: Fence | int
    near: Fence | int
    far: Fence | int
    answer: tuple[Holding, Acknowledgement] | int | None = None


def freeze(found):
    """Return a hashable form in which all expired times are equal."""
    is_victim = found.own == HOLDER
    is_confirmed = is_victim and is_recent(found.read_at)
    heard = sort_heard(found.peer_states, found.table.number)
    return found._replace(
        table=freeze_table(found.table),
        read_at=found.read_at if is_confirmed else None,
        votes=sort(found.votes, is_recent) if is_victim else (),
        peer_states=() if is_victim else heard,
        waiting=tuple(
            (slot, None if until is None else max(0.0, until))
            for slot, until in sorted(found.waiting.items())
            if slot == SLOT
        ),
    )


def is_recent(at):
    """Return whether a time has not expired at the present, which is 0."""
    return at is not None and at > -CONFIRM_SECONDS


def sort(times, keeps):
    """Return the sorted times that a predicate keeps."""
    return tuple(sorted((key, at) for key, at in times.items() if keeps(at)))


def sort_heard(heard, number):
    """Return the states of peers that affect a decision."""
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
        peer_states=dict(frozen.peer_states),
        waiting=dict(frozen.waiting),
    )


def thaw_table(frozen):
    """Return the table of a hashable form."""
    return Table(dict(frozen[0]), frozen[1], frozen[2])


def freeze_answer(answer, own):
    """Return a hashable form of the answer in transit, if it has an effect."""
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


class Codes:
    """Small numbers for hashable forms, which makes states fast to compare."""

    def __init__(self):
        """Start with none."""
        self.numbers = {}
        self.forms = []

    def encode(self, form):
        """Return the number of a form, a new one if it has none."""
        number = self.numbers.setdefault(form, len(self.forms))
        if number == len(self.forms):
            self.forms.append(form)
        return number


class Steps:
    """The successors of each part of a state, cached.

    Each decision depends on one or two parts, and far fewer pairs of parts
    occur than states. Each run needs its own object, since a run may patch the
    decisions.
    """

    def __init__(self):
        """Create empty caches."""
        self.fences = Codes()
        self.tables = Codes()
        self.answers = Codes()
        for name in (
            'age_answer', 'age_fence', 'answer', 'hear', 'is_restartable',
            'keep_answer', 'list_plans', 'list_used', 'may_use', 'read',
            'restart', 'tell',
        ):  # fmt: skip
            setattr(self, name, cache(getattr(self, name)))

    def pack(self, state):
        """Return a state of the checker: the numbers of its parts."""
        return State(
            self.put_table(state.stored),
            *(self.put(getattr(state, name)) for name in NAMES),
            self.answers.encode(freeze_answer(state.answer, state.holder)),
        )

    def put(self, found):
        """Return the number of a fence."""
        return self.fences.encode(freeze(found))

    def get(self, number):
        """Return the fence of a number."""
        return thaw(self.fences.forms[number])

    def put_table(self, table):
        """Return the number of a table."""
        return self.tables.encode(freeze_table(table))

    def get_table(self, number):
        """Return the table of a number."""
        return thaw_table(self.tables.forms[number])

    def put_answer(self, answer, holder):
        """Return the number of an answer in transit to the holder."""
        return self.answers.encode(freeze_answer(answer, self.get(holder)))

    def get_answer(self, number):
        """Return the answer of a number."""
        return thaw_answer(self.answers.forms[number])

    def keep_answer(self, answer, holder):
        """Return the answer if it still has an effect on the holder."""
        return self.put_answer(self.get_answer(answer), holder)

    def age_fence(self, number):
        """Return a fence after a tick."""
        return self.put(age(self.get(number)))

    def age_answer(self, number, holder):
        """Return an answer in transit to an aged holder after a tick."""
        answer = self.get_answer(number)
        if answer is not None:
            asked_at = answer[1].asked_at - TICK
            answer = answer[0], answer[1]._replace(asked_at=asked_at)
        return self.put_answer(answer, holder)

    def read(self, number, stored):
        """Return a fence that read the table in the store."""
        table = self.get_table(stored)
        return self.put(fence.record_read(self.get(number), table, 0, 0))

    def answer(self, number, holder):
        """Return a peer that answers the holder, and its answer."""
        peer, asker = self.get(number), self.get(holder)
        probe = Probe(0, asker.table.number, asker.table)
        told, known = fence.answer_probe(peer, HOLDER.start, probe, 1, 0)
        return self.put(told), self.put_answer((peer.own, known), holder)

    def hear(self, holder, answer):
        """Return the holder after it received the answer, if there is one."""
        found = self.get_answer(answer)
        if found is None:
            return None
        return self.put(fence.hear_known(self.get(holder), *found, 0))

    def list_plans(self, number, stored):
        """Return what a taker may write: live VMs, table, and its fence."""
        own, table = self.get(number), self.get_table(stored)
        if own.table.number != table.number:
            return ()
        found = []
        for live in (set(NAMES), set(NAMES[1:])):
            planned = fence.plan(own, frozenset(live), 3, 0)
            if planned == own.table or planned.number > LAST_NUMBER:
                continue
            free = frozenset(planned.holdings) - frozenset(own.table.holdings)
            adopted = fence.adopt(own, planned, 0, free)
            found.append(
                (len(live), self.put_table(planned), self.put(adopted)),
            )
        return tuple(found)

    def tell(self, number, other):
        """Return a peer that received a taker's table, and the taker."""
        own, peer = self.get(number), self.get(other)
        probe = Probe(0, own.table.number, own.table)
        told, known = fence.answer_probe(peer, own.own.start, probe, 1, 0)
        heard = fence.hear_known(own, told.own, known, 0)
        return self.put(told), self.put(heard)

    def is_restartable(self, number):
        """Return whether a taker is at its first start."""
        return self.get(number).own == NEAR

    def restart(self):
        """Return the fence of a taker that starts again."""
        return self.put(Fence(RESTARTED))

    def may_use(self, number):
        """Return whether the holder is confirmed."""
        until = fence.get_confirmed_until(self.get(number))
        return until is not None and until > 0

    def list_used(self, number):
        """Return the slots that a fence leaves to its holder."""
        return fence.find_usable(self.get(number), 0)


def list_steps(steps, state):
    """Yield the possible steps, with the answer unchanged."""
    yield 'time passes', pass_time(steps, state)
    for name in NAMES:
        read = steps.read(getattr(state, name), state.stored)
        yield f'{name} reads', state._replace(**{name: read})
    yield from list_answers(steps, state)
    for name in NAMES[1:]:
        yield from list_writes(steps, state, name)
        yield from list_told(steps, state, name)
    if steps.is_restartable(state.near):
        yield 'near restarts', state._replace(near=steps.restart())


def pass_time(steps, state):
    """Advance all clocks; the present stays 0."""
    holder = steps.age_fence(state.holder)
    return State(
        state.stored,
        holder,
        steps.age_fence(state.near),
        steps.age_fence(state.far),
        steps.age_answer(state.answer, holder),
    )


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


def list_answers(steps, state):
    """Let peers answer the holder; the answer arrives late, twice or never."""
    for name in NAMES[1:]:
        told, answer = steps.answer(getattr(state, name), state.holder)
        yield (
            f'{name} answers',
            state._replace(**{name: told}, answer=answer),
        )
    heard = steps.hear(state.holder, state.answer)
    if heard is not None:
        yield 'holder hears', state._replace(holder=heard)


def list_writes(steps, state, name):
    """Let a taker write what it plans, with or without a reply."""
    plans = steps.list_plans(getattr(state, name), state.stored)
    for live, planned, adopted in plans:
        yield (
            f'{name} writes with {live} live',
            state._replace(stored=planned, **{name: adopted}),
        )
        yield (
            f'{name} writes with {live} live, reply lost',
            state._replace(stored=planned),
        )


def list_told(steps, state, name):
    """Let a taker send its table to a peer, with or without a reply."""
    for other in NAMES:
        if other == name:
            continue
        told, heard = steps.tell(getattr(state, name), getattr(state, other))
        yield (
            f'{name} tells {other}',
            state._replace(**{other: told, name: heard}),
        )
        yield f'{name} tells {other}, lost', state._replace(**{other: told})


def is_held_once(steps, state):
    """Return whether no other uses a slot while the holder does."""
    if not steps.may_use(state.holder):
        return True
    used = steps.list_used(state.holder)
    return not any(
        used & steps.list_used(other) for other in (state.near, state.far)
    )


def check():
    """Check that each slot has one user at a time; stop at a fault."""
    faults = []
    steps = Steps()

    def expand(state):
        if faults:
            return
        for label, after in list_steps(steps, state):
            if after.holder != state.holder:
                kept = steps.keep_answer(after.answer, after.holder)
                after = after._replace(answer=kept)
            yield label, after

    def judge(fields):
        held = is_held_once(steps, State(**fields))
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
        initial=steps.pack(start),
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
