"""Tests of the decisions on changes, comparisons and freshness."""

import pytest

from toucanhall.spread import comparison, freshness
from toucanhall.spread.acceptance import (
    Attempt,
    BaseVerdict,
    Known,
    ReadFailed,
    ReadSucceeded,
    Step,
    WriteFailed,
    WriteUncertain,
    check_base,
    decide_step,
)
from toucanhall.spread.comparison import Comparison
from toucanhall.spread.messages import RevisionAnswer
from toucanhall.spread.record import Record
from toucanhall.spread.silence import (
    SILENT_AFTER_SECONDS,
    record_answer,
    record_query,
)

BASE = Record(4, 'base', '{}', ('older',))
OURS = Record(5, 'ours', '{}', ('older', 'base'))
THEIRS = Record(5, 'theirs', '{}', ('older', 'base'))
LATER = Record(6, 'later', '{}', ('older', 'base', 'ours'))
FOREIGN = Record(40, 'foreign', '{}', ('unrelated',))
SENT = Attempt('ours', 'base', 7, is_sent=True, tries=1)
HELD = Known(5, 'a')


@pytest.mark.parametrize(
    ('stored', 'known', 'verdict'),
    [
        (BASE, Known(4, 'base'), BaseVerdict.OPEN),
        (THEIRS, Known(5, 'theirs'), BaseVerdict.CONFLICT),
        (BASE, Known(5, 'ours'), BaseVerdict.STORE_BEHIND),
        (LATER, Known(6, 'later'), BaseVerdict.DONE),
    ],
)
def test_base_of_a_change_is_compared_with_the_store(stored, known, verdict):
    assert check_base(4, 'ours', known, stored) is verdict


@pytest.mark.parametrize(
    ('event', 'step'),
    [
        (ReadSucceeded(8, OURS), Step.ACCEPTED),
        (ReadSucceeded(9, LATER), Step.ACCEPTED),
        (ReadSucceeded(8, THEIRS), Step.CONFLICT),
        (ReadSucceeded(8, FOREIGN), Step.READ),
        (ReadSucceeded(8, BASE), Step.READ),
        (ReadSucceeded(7, BASE), Step.WRITE),
        (ReadFailed(), Step.READ),
        (WriteFailed(conflict=True), Step.READ),
    ],
)
def test_lost_reply_is_resolved_by_the_change_id(event, step):
    assert decide_step(SENT, event)[1] is step


def test_first_write_without_effect_is_final():
    fresh = Attempt('ours', 'base', 7)
    assert decide_step(fresh, WriteFailed(conflict=True))[1] is Step.CONFLICT
    assert decide_step(fresh, WriteFailed(conflict=False))[1] is Step.REFUSED


def test_change_without_any_reply_ends_as_unknown():
    attempt, step = decide_step(Attempt('ours', 'base', 7), WriteUncertain())
    while step is Step.READ:
        attempt, step = decide_step(attempt, ReadFailed())
    assert step is Step.UNKNOWN


def learn_twice(state, as_of, now):
    """Return the state after evidence of the store and of a peer."""
    state = freshness.record_evidence(state, as_of, freshness.STORE, now)
    return freshness.record_evidence(state, as_of, 'peer', now)


def test_paused_vm_may_not_serve_until_fresh_evidence():
    state = learn_twice(freshness.begin(0), 0, 0)
    assert freshness.may_serve(state, 1, 60)
    assert not freshness.may_serve(state, 10, 60)
    state = freshness.tick(state, 10, 5)
    assert not freshness.may_serve(state, 10, 60)
    state = learn_twice(state, 9.5, 10)
    assert freshness.may_serve(state, 10, 60)


def test_one_source_is_enough_only_where_there_is_no_peer():
    state = freshness.record_evidence(freshness.begin(0), 0, freshness.STORE, 0)
    assert not freshness.is_settled(freshness.tick(state, 0, None), 0)
    assert not freshness.is_settled(freshness.tick(state, 0, 1), 0)
    assert freshness.is_settled(freshness.tick(state, 0, 0), 0)


def test_cut_off_vm_serves_up_to_the_hold_time():
    state = learn_twice(freshness.begin(0), 0, 0)
    for now in range(1, 61):
        state = freshness.tick(state, now, 5)
        assert freshness.may_serve(state, now, 60)
    assert not freshness.may_serve(freshness.tick(state, 61, 5), 61, 60)


def test_started_vm_in_a_cut_off_zone_serves_after_the_settle_time():
    state = learn_twice(freshness.begin(100), 40, 100)
    for now in (101, 102, 103):
        state = freshness.tick(state, now, 5)
        assert not freshness.may_serve(state, now, 600)
    state = freshness.tick(state, 100 + freshness.SETTLE_SECONDS, 5)
    assert freshness.may_serve(state, 104, 600)


def test_vms_that_all_start_at_once_settle_with_the_store_alone():
    state = freshness.begin(0)
    for now in range(1, 5):
        state = freshness.tick(state, now, 5)
        state = freshness.record_evidence(state, now, freshness.STORE, now)
    assert freshness.may_serve(state, 4, 60)


def test_vm_with_short_pauses_does_not_count_as_cut_off():
    state = learn_twice(freshness.begin(0), 0, 0)
    for now in range(2, 20, 2):
        state = freshness.tick(state, now, 5)
    assert not freshness.may_serve(state, 18, 60)


def make_comparison(now=0):
    """Return a comparison with one query, sent at `now`."""
    start = Comparison(freshness.begin(now), {})
    return comparison.make_query(start, HELD, '127.2.0.1', now)[0]


def test_answer_is_evidence_as_of_the_time_of_its_query():
    answer = RevisionAnswer(1, 5, 'a', 2)
    state = comparison.receive_answer(
        make_comparison(10), HELD, answer, 'b', 12
    )
    assert state.freshness.as_of == 8


@pytest.mark.parametrize(
    'answer',
    [
        RevisionAnswer(9, 5, 'a', 0),
        RevisionAnswer(1, 5, 'a', None),
        RevisionAnswer(1, 6, 'b', 0),
        RevisionAnswer(1, 5, 'b', 0),
    ],
)
def test_answer_that_is_no_evidence_updates_the_newest_revision_only(answer):
    state = comparison.receive_answer(make_comparison(), HELD, answer, 'b', 1)
    assert state.freshness.as_of is None
    assert state.newest_known == (answer.number, answer.change)


def test_paused_peer_reports_no_age():
    asking = make_comparison()
    peer = Comparison(learn_twice(freshness.begin(0), 0, 0), {})
    query = comparison.make_query(asking, HELD, '127.2.0.1', 20)[1]
    assert comparison.make_answer(peer, HELD, query, 1).age == 1
    assert comparison.make_answer(peer, HELD, query, 20).age is None


def test_connection_without_answers_is_replaced():
    state, is_silent = record_query({}, 'peer', 0)
    assert not is_silent
    state, is_silent = record_query(state, 'peer', 1)
    assert not is_silent
    state, is_silent = record_query(state, 'peer', SILENT_AFTER_SECONDS)
    assert is_silent
    assert not record_query(state, 'peer', SILENT_AFTER_SECONDS + 1)[1]


def test_answer_keeps_a_connection_from_being_replaced():
    state, _ = record_query({}, 'peer', 0)
    state = record_answer(state, 'peer')
    assert not record_query(state, 'peer', SILENT_AFTER_SECONDS)[1]
