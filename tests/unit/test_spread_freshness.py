"""Tests that VMs stay settled when the store stops answering."""

from toucanhall.spread.freshness import begin, is_settled, record_evidence, tick

STEP = 0.5
RELAY_SECONDS = 2.0
LOST_AT_SECONDS = 10.0


def run_until(end_seconds):
    """Yield each time and state; the store is lost at `LOST_AT_SECONDS`.

    Until then the evidence of the peers is `RELAY_SECONDS` old; afterwards
    they keep relaying the last evidence.
    """
    state, now = begin(0), 0.0
    while now < end_seconds:
        now += STEP
        state = tick(state, now, 5)
        newest = min(now, LOST_AT_SECONDS) - RELAY_SECONDS
        for source in ('b', 'c'):
            state = record_evidence(state, newest, source, now)
        yield now, state


def test_vms_stay_settled_when_the_store_is_lost():
    unsettled = [
        now
        for now, state in run_until(40)
        if now > RELAY_SECONDS + 1 and not is_settled(state, now)
    ]
    assert not unsettled


def test_vm_stays_settled_when_peers_relay_slowly():
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
