"""Tests of the steering policy on single events."""

from tests.builders import make_arrival, make_catalogue, make_state
from toucanhall.steering import Outcome
from toucanhall.steering.ownership import divide, note_gains, select_settled
from toucanhall.steering.peers import Distance, Peer
from toucanhall.steering.policy import count_spare, decide
from toucanhall.steering.records import (
    Carry,
    End,
    Expire,
    Origin,
    Refuse,
    Report,
    Resize,
    Run,
    Wait,
)
from toucanhall.steering.targets import LocalTarget

LOCAL_PEER = Peer('own-2', 'own', 'near', '127.2.0.2:8080', Distance.ZONE)
REGION_PEER = Peer(
    'near-1', 'near-b', 'near', '127.2.0.3:8080', Distance.REGION
)
REMOTE_PEER = Peer(
    'far-1', 'far-a', 'far', '127.2.0.4:8080', Distance.OTHER_REGION
)
HEALTHY = Outcome(healthy=True, seconds=0.04)
FAILED = Outcome(healthy=False)


def arrive(state, ticket='t', now=0, **changes):
    """Apply one arrival; return the state and its last effect."""
    state, effects = decide(state, make_arrival(ticket, **changes), now)
    return state, effects[-1]


def fill(state, count, now=0):
    """Send requests until `count` run; return the state."""
    for number in range(count):
        state, effect = arrive(state, f'fill-{number}', now)
        assert isinstance(effect, Run)
    return state


def test_least_loaded_own_target_comes_first():
    state, first = arrive(
        make_state(LocalTarget('a', '', 3), LocalTarget('b', '', 3))
    )
    _, second = arrive(state)
    assert {first.name, second.name} == {'a', 'b'}


def test_full_zone_goes_to_sibling_then_region():
    state = fill(
        make_state(LocalTarget('a', '', 1), peers=(LOCAL_PEER, REGION_PEER)), 1
    )
    state, first = arrive(state)
    state, second = arrive(state)
    assert [first.name, second.name] == ['own-2', 'near-1']


def test_short_wait_goes_before_another_region():
    state = fill(make_state(LocalTarget('a', '', 4), peers=(REMOTE_PEER,)), 4)
    state, first = arrive(state, 'one')
    assert isinstance(first, Wait)
    for number in range(8):
        state, later = arrive(state, f'more-{number}')
    assert isinstance(later, Wait | Carry)
    assert state.peers['far-1'].in_flight == 1


def test_region_without_link_bytes_gets_nothing():
    state = fill(make_state(LocalTarget('a', '', 1), peers=(REMOTE_PEER,)), 1)
    for number in range(8):
        state, _ = arrive(
            state, str(number), closed_regions=frozenset(('far',))
        )
    assert state.peers['far-1'].in_flight == 0


def test_request_that_would_wait_past_its_deadline_is_refused_at_once():
    state = fill(make_state(LocalTarget('a', '', 1)), 1)
    _, effect = arrive(state, expires_at=0.06)
    assert isinstance(effect, Refuse)
    assert effect.retry_after >= 1


def test_waiting_request_runs_when_a_slot_is_free():
    state = fill(make_state(LocalTarget('a', '', 1)), 1)
    state, _ = arrive(state, 'next')
    _, effects = decide(state, End('a', HEALTHY), 0.04)
    assert effects == (Run('next', 'a', ''),)


def test_expired_request_is_refused_and_leaves_the_queue():
    state = fill(make_state(LocalTarget('a', '', 1)), 1)
    state, _ = arrive(state, 'next')
    state, effects = decide(state, Expire('next'), 5)
    assert effects[0].reason == 'deadline'
    assert not state.queue.waiting


def test_circuit_opens_after_failures_and_closes_after_one_probe():
    state = make_state(LocalTarget('a', '', 9))
    for _ in range(3):
        state, effect = arrive(state)
        state, _ = decide(state, End(effect.name, FAILED), 0)
    assert isinstance(arrive(state, now=0.5)[1], Refuse)
    state, probe = arrive(state, now=2)
    assert isinstance(probe, Run)
    assert isinstance(arrive(state, now=2)[1], Refuse)
    state, _ = decide(state, End('a', HEALTHY), 2.1)
    state = fill(state, 1, now=2.1)
    assert count_spare(state, 2.1, shifting=False) < 8


def test_target_that_reports_idle_and_fails_is_judged_by_outcomes():
    state = make_state(LocalTarget('a', '', 9), LocalTarget('b', '', 9))
    state, _ = decide(state, Report('a', 0), 0)
    state, _ = decide(state, Report('b', 1), 0)
    state, first = arrive(state)
    assert first.name == 'a'
    state, _ = decide(state, End('a', FAILED), 0)
    _, second = arrive(state)
    assert second.name == 'b'


def test_draining_target_gets_nothing_new():
    state = make_state(LocalTarget('a', '', 9), LocalTarget('b', '', 9))
    draining = LocalTarget('a', '', 9, draining_at=0)
    state, _ = decide(
        state, Resize((draining, LocalTarget('b', '', 9)), (), 1), 0
    )
    for _ in range(9):
        state, effect = arrive(state)
        assert effect.name == 'b'
    state, late = arrive(state, now=4)
    assert isinstance(late, Wait)


def test_new_target_starts_with_a_fraction_of_its_slots():
    state = make_state(LocalTarget('a', '', 10))
    targets = (LocalTarget('a', '', 10), LocalTarget('b', '', 10))
    state, _ = decide(state, Resize(targets, (), 1), 0)
    assert count_spare(state, 0, shifting=False) == 12
    assert count_spare(state, 20, shifting=False) == 20


def test_hop_of_another_zone_runs_only_in_free_slots():
    state = fill(make_state(LocalTarget('a', '', 2)), 1)
    state, hop = arrive(state, origin=Origin.ZONE)
    _, refused = arrive(state, origin=Origin.ZONE)
    assert isinstance(hop, Run)
    assert isinstance(refused, Refuse)


def test_shift_from_other_zones_grows_under_its_cap():
    state = make_state(LocalTarget('a', '', 100), shift_per_second=10)
    ran = 0
    for tick in range(21):
        for _ in range(20):
            state, effect = arrive(state, now=tick / 10, origin=Origin.ZONE)
            ran += isinstance(effect, Run)
    assert ran <= 1 + 2 * 10


def test_retries_are_a_fraction_of_successes():
    state = make_state(LocalTarget('a', '', 9))
    retried = 0
    for _ in range(100):
        state, effect = arrive(state)
        state, _ = decide(state, End('a', HEALTHY), 0)
        state, effect = arrive(state, attempts=1)
        if isinstance(effect, Run):
            retried += 1
            state, _ = decide(state, End('a', Outcome(healthy=None)), 0)
    assert retried <= 0.1 * 100


def test_flooding_team_evicts_its_own_requests():
    state = fill(make_state(LocalTarget('a', '', 1)), 1)
    for number in range(40):
        state, _ = arrive(state, f'flood-{number}', team='big')
    state, effect = arrive(state, 'small', team='small')
    assert 'small' in {entry.ticket for entry in state.queue.waiting}
    _, effects = decide(state, End('a', HEALTHY), 0.04)
    assert effects[-1].ticket in {'small', 'flood-0'}


def test_holders_own_no_slot_in_common():
    targets = tuple(make_catalogue().targets.values())
    parts = [
        divide(targets, frozenset(held), 12)
        for held in ((0, 1, 2, 3), (4, 5, 6, 7, 8), (9, 10, 11))
    ]
    for target in targets:
        total = sum(part[target.name] for part in parts)
        assert total == target.slots


def test_gained_slots_are_used_only_after_the_settling_time():
    gained = note_gains({}, frozenset((1,)), 0)
    gained = note_gains(gained, frozenset((1, 2)), 2)
    assert select_settled(gained, 3) == {1}
    assert select_settled(gained, 5) == {1, 2}
    assert not select_settled(note_gains(gained, frozenset(), 6), 9)


def test_retry_does_not_wait_for_the_target_that_failed():
    state = make_state(LocalTarget('a', '', 9), peers=(REGION_PEER,))
    state, first = arrive(state)
    state, _ = decide(state, End('a', FAILED), 0)
    state, second = arrive(state, attempts=1, passed=frozenset(('a',)))
    assert (first.name, second.name) == ('a', REGION_PEER.vm)


def test_retry_without_an_untried_target_is_refused_at_once():
    state = make_state(LocalTarget('a', '', 9))
    state, _ = arrive(state)
    state, _ = decide(state, End('a', FAILED), 0)
    _, retried = arrive(state, attempts=1, passed=frozenset(('a',)))
    assert isinstance(retried, Refuse)


def test_initial_budget_allows_two_retries():
    state = make_state(
        LocalTarget('a', '', 9), peers=(REGION_PEER, REMOTE_PEER)
    )
    state, _ = arrive(state)
    state, _ = decide(state, End('a', FAILED), 0)
    state, _ = arrive(state, attempts=1, passed=frozenset(('a',)))
    bounced = Outcome(healthy=None)
    state, _ = decide(state, End(REGION_PEER.vm, bounced, spare=0), 0)
    passed = frozenset(('a', REGION_PEER.vm))
    _, third = arrive(state, attempts=2, passed=passed, is_bounced=True)
    assert third.name == REMOTE_PEER.vm


def test_target_that_refuses_connections_costs_no_retry():
    """Guards against probes of a dead target using up the retry budget."""
    state = make_state(LocalTarget('a', '', 9), peers=(REGION_PEER,))
    state = state._replace(budget=state.budget._replace(retries=0))
    for number in range(20):
        state, _ = arrive(state, f'{number}')
        state, _ = decide(state, End('a', FAILED), 0)
        state, second = arrive(
            state,
            f'{number}',
            attempts=1,
            is_unsent=True,
            passed=frozenset(('a',)),
        )
        assert isinstance(second, Carry)
        state, _ = decide(state, End(REGION_PEER.vm, HEALTHY, spare=9), 0)


def test_attempts_that_sent_nothing_are_limited():
    state = make_state(
        LocalTarget('a', '', 9), peers=(REGION_PEER, REMOTE_PEER)
    )
    state = state._replace(budget=state.budget._replace(retries=0))
    _, effect = arrive(state, attempts=3, is_unsent=True)
    assert isinstance(effect, Refuse)
