"""A VM as a real process whose targets send answers without an end."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment
from toucanhall.observe import events

NETWORK_OCTET = 65
MAX_PEAK_BYTES = 64_000_000  # for a VM that may use 152 MB
ANSWER_COUNT = 100
# For a request that takes its target 10 ms, on a busy machine.
MAX_REQUEST_SECONDS = 1.0


def drop_unaccepted(deployment, outcomes):
    """Return the outcomes without those whose target accepted no connection.

    On a busy machine a target that is sending may accept too late. Then
    nothing was sent to it, and the caller must be told so: `not-run`.
    """
    unaccepted = {
        line['request']
        for line in deployment.find_events('vm-1', events.ATTEMPT_FAILED.number)
        if line['detail'].endswith('did not accept in time')
        and not line['may_have_run']
    }
    return [
        outcome
        for outcome in outcomes
        if outcome.body != 'not-run' or outcome.request_id not in unaccepted
    ]


@pytest.mark.parametrize(
    'kind',
    ('one header', 'header lines', 'body without a length', 'trailers'),
)
def test_memory_stays_bounded_with_a_hundred_endless_answers(kind):
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        deployment.add_endless_target('t1', kind)
        deployment.start_vm('vm-1')
        deployment.wait_ready()
        with ThreadPoolExecutor(ANSWER_COUNT) as pool:
            outcomes = list(
                pool.map(
                    lambda number: deployment.request(
                        'vm-1', affinity_key=str(number)
                    ),
                    range(ANSWER_COUNT),
                ),
            )
        outcomes = drop_unaccepted(deployment, outcomes)
        assert {outcome.status for outcome in outcomes} <= {502, 503}
        assert {outcome.body for outcome in outcomes} <= {
            'answer-lost',
            'targets-full',
        }
        assert 502 in {outcome.status for outcome in outcomes}
        assert deployment.read_peak_memory_bytes('vm-1') < MAX_PEAK_BYTES
        lines = deployment.find_events('vm-1', events.ATTEMPT_FAILED.number)
        assert any(' over ' in line['detail'] for line in lines)


@pytest.mark.parametrize('kind', ('one header', 'body with a length'))
def test_other_targets_serve_requests_beside_an_endless_one(kind):
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        deployment.add_endless_target('t1', kind)
        deployment.add_target('t2')
        deployment.add_target('t3')
        deployment.add_target('t4')
        deployment.start_vm('vm-1')
        deployment.wait_ready()
        # Retries are limited: a VM that has just started may make one.
        first = [
            deployment.request('vm-1', affinity_key=str(number))
            for number in range(20)
        ]
        first = drop_unaccepted(deployment, first)
        failures = {
            (outcome.status, outcome.body)
            for outcome in first
            if outcome.status != 200
        }
        assert failures <= {(502, 'answer-lost')}
        time.sleep(1.0)
        outcomes = [
            deployment.request('vm-1', affinity_key=str(number))
            for number in range(60)
        ]
        assert {outcome.status for outcome in outcomes} == {200}
        bookings = [
            deployment.request(
                'vm-1', '/book/1', method='POST', affinity_key=str(number)
            )
            for number in range(40)
        ]
        assert {outcome.status for outcome in bookings} <= {200, 502, 503}
        started_at = time.monotonic()
        assert deployment.request('vm-1', affinity_key='0').status == 200
        assert time.monotonic() - started_at < MAX_REQUEST_SECONDS
