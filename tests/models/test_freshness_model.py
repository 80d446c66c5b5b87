"""Model of a VM that is paused or cut off while a key is withdrawn.

Guards against a withdrawn key being served for too long. Time advances by one
second. While the VM runs and is connected, it compares its revision with two
sources each second. An answer in transit when a pause starts is buffered until
the VM resumes. A pause is longer than `MAX_TICK_GAP_SECONDS`; a VM that ticks
in time counts as running and answered. Times are relative to now and limited
to `MIN_TIME_SECONDS`, which is past every bound, so that the state space is
finite.
"""

from typing import NamedTuple

from minicheck import Protocol

from tests.models.reports import (
    explore,
    list_broken,
    report_model,
    report_variants,
)
from toucanhall.spread import freshness
from toucanhall.spread.freshness import Freshness

HOLD_SECONDS = 9
MIN_TIME_SECONDS = -11
# The target: an accepted configuration is in force within this time.
MAX_LAG_SECONDS = 8
SOURCES = (freshness.STORE, 'peer')


class State(NamedTuple):
    """The VM, its buffer, and when the key was withdrawn.

    `was_cut` is set after the VM ran while cut off, until it is connected
    again or has been paused for longer than `MIN_PAUSE_SECONDS`.
    """

    freshness: Freshness = Freshness(0, settled=True, as_of=0)
    is_paused: bool = False
    is_cut: bool = False
    was_cut: bool = False
    has_newest: bool = True
    withdrawn_at: int | None = None
    buffered_at: int | None = None


class Rules(NamedTuple):
    """The functions under test; a variant replaces one."""

    tick: object = freshness.tick
    record_evidence: object = freshness.record_evidence
    may_serve: object = freshness.may_serve


def list_steps(state, rules):
    """Yield the possible next transitions."""
    if state.withdrawn_at is None:
        withdrawn = state._replace(withdrawn_at=0, has_newest=False)
        yield 'key is withdrawn', withdrawn
    yield 'a second passes', pass_second(state, rules)
    if state.is_paused:
        if -state.freshness.ticked_at > freshness.MAX_TICK_GAP_SECONDS:
            yield 'resumes', state._replace(is_paused=False)
    else:
        paused = state._replace(is_paused=True)
        yield 'pauses', paused
        if not state.is_cut and state.has_newest:
            asked = paused._replace(buffered_at=0)
            yield 'pauses with an answer under way', asked
    if not state.is_paused:
        ticked = rules.tick(state.freshness, 0, 1)
        yield 'ticks', state._replace(freshness=ticked)
    if not state.is_paused and state.buffered_at is not None:
        received = record_evidence(state, rules, state.buffered_at)
        yield 'reads its buffer', received._replace(buffered_at=None)
    yield 'is cut or healed', state._replace(is_cut=not state.is_cut)


def pass_second(state, rules):
    """Advance by one second, with the regular work of a running VM."""
    state = shift(state)
    if state.is_paused:
        is_long = -state.freshness.ticked_at > freshness.MIN_PAUSE_SECONDS
        return state._replace(was_cut=state.was_cut and not is_long)
    ticked = rules.tick(state.freshness, 0, 1)
    state = state._replace(freshness=ticked)
    if state.is_cut:
        return state._replace(was_cut=True)
    return record_evidence(
        state._replace(has_newest=True, was_cut=False), rules, 0
    )


def shift(state):
    """Shift every time one second into the past."""
    known = state.freshness
    return state._replace(
        freshness=known._replace(
            ticked_at=age(known.ticked_at),
            as_of=age(known.as_of),
        ),
        withdrawn_at=age(state.withdrawn_at),
        buffered_at=age(state.buffered_at),
    )


def age(time):
    """Return a relative time as of one second later."""
    return None if time is None else max(time - 1, MIN_TIME_SECONDS)


def record_evidence(state, rules, asked_at):
    """Record the answers to the queries that were sent at `asked_at`."""
    known = state.freshness
    for source in SOURCES:
        known = rules.record_evidence(known, asked_at, source, 0)
    return state._replace(freshness=known)


def serves_withdrawn(fields, rules):
    """Return for how many seconds the VM has served a withdrawn key."""
    serves = not fields['is_paused'] and rules.may_serve(
        fields['freshness'],
        0,
        HOLD_SECONDS,
    )
    if fields['has_newest'] or not serves:
        return 0
    return -fields['withdrawn_at']


def check(**variant):
    """Explore the complete state space with the rules of a variant."""
    rules = Rules(**variant)

    def is_bounded(fields):
        lag = serves_withdrawn(fields, rules)
        return lag <= MAX_LAG_SECONDS or fields['was_cut']

    protocol = Protocol(
        name='freshness',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda fields: [
            (label, tuple(after))
            for label, after in list_steps(State(*fields), rules)
        ],
        invariants={
            'bounded': is_bounded,
            'held': lambda fields: (
                serves_withdrawn(fields, rules) <= HOLD_SECONDS
            ),
        },
    )
    return explore(protocol, max_states=2_000_000)


def test_withdrawn_key_is_served_for_a_bounded_time():
    checked = check()
    report_model('freshness', checked)
    assert not list_broken(checked)


def test_check_of_the_own_clock_is_needed():
    def serve_settled(state, now, hold_seconds):
        return freshness.may_serve(
            state._replace(ticked_at=now), now, hold_seconds,
        )  # fmt: skip

    checked = check(may_serve=serve_settled)
    report_variants('freshness serve_settled', checked)
    assert 'bounded' in list_broken(checked)


def test_pause_must_be_noticed_by_the_tick():
    def tick_on(state, now, peers):
        ticked_at = max(state.ticked_at, now - freshness.MAX_TICK_GAP_SECONDS)
        return freshness.tick(state._replace(ticked_at=ticked_at), now, peers)

    checked = check(tick=tick_on)
    report_variants('freshness tick_on', checked)
    assert 'bounded' in list_broken(checked)


def test_answer_must_count_from_its_question():
    def learn_on_arrival(state, _asked_at, source, now):
        return freshness.record_evidence(state, now, source, now)

    checked = check(record_evidence=learn_on_arrival)
    report_variants('freshness learn_on_arrival', checked)
    assert 'bounded' in list_broken(checked)


def test_bound_on_an_outdated_revision_is_needed():
    def serve_for_ever(state, now, _hold_seconds):
        return freshness.may_serve(state, now, -MIN_TIME_SECONDS)

    checked = check(may_serve=serve_for_ever)
    report_variants('freshness serve_for_ever', checked)
    assert 'held' in list_broken(checked)
