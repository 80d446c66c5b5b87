"""Tests of the age of the revision that a VM holds."""

from toucanhall.spread.freshness import begin, is_settled, record_evidence, tick

STEP = 0.5
RELAY_SECONDS = 2.0
LOST_AT_SECONDS = 10.0


def run_until(end_seconds):
    """Return every state while the store falls silent at `LOST_AT_SECONDS`.

    Until then the peers know the store of a moment ago; after it they go on
    telling of the same last moment, each step of another one.
    """
    state, now = begin(0), 0.0
    while now < end_seconds:
        now += STEP
        state = tick(state, now, 5)
        newest = min(now, LOST_AT_SECONDS) - RELAY_SECONDS
        for source in ('b', 'c'):
            state = record_evidence(state, newest, source, now)
        yield now, state


def test_vms_serve_on_when_the_store_falls_silent():
    unsettled = [
        now
        for now, state in run_until(40)
        if now > RELAY_SECONDS + 1 and not is_settled(state, now)
    ]
    assert not unsettled


def test_peers_that_relay_slowly_leave_no_gap():
    state, now = begin(0), 0.0
    unsettled = []
    while now < 30:
        now += STEP
        state = tick(state, now, 5)
        newest = min(now - 4, LOST_AT_SECONDS + now / 100)
        for source in ('b', 'c'):
            state = record_evidence(state, newest, source, now)
        if now > 6 and not is_settled(state, now):
            unsettled.append(now)
    assert not unsettled
