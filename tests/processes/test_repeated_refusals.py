"""Bookings at targets that write their refusals twice."""

import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import make_configuration, make_rule
from toucanhall.observe import events

NETWORK_OCTET = 77
WORK_SECONDS = 0.1
BOOKING_COUNT = 16
# For a run to end whose caller has been answered.
SETTLE_SECONDS = 0.2
# Until a target does not count as full any more.
FULL_SECONDS = 0.4
WARM_UP_COUNT = 60
PROMISES = {408, 421, 429, 503}


@pytest.fixture
def deployment():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        booking = make_rule('/book/', route_type='non_idempotent', attempts=3)
        rules = (make_rule('/view/'), booking)
        deployment.write('config', 'main', make_configuration(2, rules=rules))
        yield deployment


def start(deployment, *targets):
    """Start targets that write refusals twice, and a VM that knows them."""
    for name in targets:
        target = deployment.add_target(name)
        target.mode = 'refusals_twice'
        target.work_seconds = WORK_SECONDS
    deployment.start_vm('vm-1')
    deployment.wait_ready()
    # Lets the VM earn retries.
    for number in range(WARM_UP_COUNT):
        deployment.request('vm-1', affinity_key=str(number))


def wait_targets(deployment, count):
    """Wait until the VM knows so many targets."""
    wait_until(
        lambda: (
            deployment.find_events('vm-1', events.TARGETS_CHANGED.number)[-1][
                'targets'
            ]
            == count
        ),
        f'VM knows {count} targets',
    )


def book(deployment, **fields):
    outcome = deployment.request(
        'vm-1', '/book/1', method='POST', body=b'seat', **fields
    )
    time.sleep(SETTLE_SECONDS)
    return outcome


def find_broken(deployment, outcomes):
    """Return status and runs of bookings that ran twice or against a promise.

    Statuses in `PROMISES` tell that a booking has not run.
    """
    found = [
        (outcome.status, len(deployment.list_executed(outcome.request_id)))
        for outcome in outcomes
    ]
    return [
        (status, runs)
        for status, runs in found
        if runs > 1 or (runs and status in PROMISES)
    ]


@pytest.mark.parametrize('targets', (('t1',), ('t1', 't2')))
def test_booking_refused_at_an_address_and_retried_there_runs_once(
    deployment, targets
):
    start(deployment, *targets)
    outcomes = []
    for number in range(BOOKING_COUNT):
        earlier_name = f'earlier-{number}'
        deployment.list_again('t1', earlier_name)
        wait_targets(deployment, len(targets) + 1)
        outcomes.append(book(deployment, affinity_key=str(number)))
        deployment.remove('servers', earlier_name)
        wait_targets(deployment, len(targets))
    assert not find_broken(deployment, outcomes)
    assert [outcome.status for outcome in outcomes] == [200] * BOOKING_COUNT


def test_booking_that_comes_again_under_its_id_is_not_refused_twice(deployment):
    start(deployment, 't1')
    target = deployment.targets['t1']
    for _booking in range(4):
        target.mode = 'refusal_after'
        refused = book(deployment)
        assert refused.status == 503
        time.sleep(FULL_SECONDS)
        target.mode = 'well'
        headers = {'X-Toucanhall-Request-Id': refused.request_id}
        again = book(deployment, headers=headers)
        assert again.status == 200
        assert len(deployment.list_executed(refused.request_id)) == 1
