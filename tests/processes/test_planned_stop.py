"""A VM stops as planned, in calm, while callers go on sending.

Failure that they guard against: a request that comes late in the grace period
is passed on and cut off without the answer of its target.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment

NETWORK_OCTET = 76
GRACE_SECONDS = 2.0  # of the settings of the stand-in
WORK_SECONDS = 1.0


@pytest.fixture
def deployment():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        for name in ('t1', 't2'):
            deployment.add_target(name)
        for vm in ('vm-1', 'vm-2'):
            deployment.start_vm(vm)
        deployment.wait_ready()
        # The VM learns that requests take some milliseconds.
        for number in range(100):
            deployment.request('vm-1', affinity_key=str(number))
        yield deployment


def list_executed_ids(deployment):
    return {
        executed.request_id
        for target in deployment.targets.values()
        for executed in target.executed
    }


@pytest.mark.parametrize('path', ('/view/1', '/book/1'))
@pytest.mark.parametrize('delay', (0.95, 1.2, 1.45))
def test_request_late_in_the_grace_is_served_or_refused_unsent(
    deployment, path, delay
):
    for target in deployment.targets.values():
        target.work_seconds = WORK_SECONDS
    deployment.signal_vm('vm-1', signal.SIGTERM)
    time.sleep(delay)
    with ThreadPoolExecutor(8) as pool:
        pending = [
            pool.submit(
                deployment.request,
                'vm-1',
                path,
                method='POST',
                body=str(number).encode(),
                affinity_key=str(number),
            )
            for number in range(8)
        ]
        outcomes = [found.result() for found in pending]
    executed = list_executed_ids(deployment)
    for outcome in outcomes:
        assert outcome.status in {200, 503}, outcome
        assert (outcome.status == 200) is (outcome.request_id in executed)
        if outcome.status == 503:
            assert outcome.body == 'vm-stopping'
            assert outcome.seconds < 0.25
    assert deployment.vms['vm-1'].wait(5) == 0


def test_booking_that_may_outlast_the_stop_is_refused_at_once(deployment):
    deployment.signal_vm('vm-1', signal.SIGTERM)
    time.sleep(0.3)
    outcome = deployment.request('vm-1', '/book/1', method='POST', body=b'1')
    assert outcome.status == 503
    assert outcome.request_id not in list_executed_ids(deployment)


def test_requests_are_served_in_the_first_half_of_the_grace(deployment):
    deployment.signal_vm('vm-1', signal.SIGTERM)
    end = time.monotonic() + 0.4 * GRACE_SECONDS
    while time.monotonic() < end:
        assert deployment.request('vm-1', timeout_ms=1000).status == 200
        time.sleep(0.05)
