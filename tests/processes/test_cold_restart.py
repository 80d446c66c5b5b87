"""A target that crashes while it is cold and starts again, with real VMs.

Failure that it guards against: it gets its whole share of the load while it is
cold, and crashes under it.
"""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment

NETWORK_OCTET = 94
VMS = ('vm-1', 'vm-2')
COLD_SECONDS = 3.0
CRASH_AFTER_SECONDS = 1.3
DOWN_SECONDS = 1.5
CALLERS = 8
FOLLOW_SECONDS = 0.5
TARGET_PORT = 9000
# 1.5 times the 16 a second of the configuration, and a slack of 5.
MAX_PER_SECOND = 29


def send_requests(deployment, seconds):
    """Send requests for many objects; return when those to `t2` arrived."""
    began_at = time.monotonic()
    numbers = itertools.count()

    def call(caller):
        while time.monotonic() < began_at + seconds:
            deployment.request(
                VMS[caller % len(VMS)], affinity_key=str(next(numbers))
            )

    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(call, range(CALLERS)))
    arrivals = deployment.targets['t2'].arrivals
    return [found.at for found in arrivals if found.at > began_at]


def count_most_in_a_second(times):
    return max(
        (sum(at <= other < at + 1 for other in times) for at in times),
        default=0,
    )


def begin(deployment):
    deployment.add_target('t1')
    for vm in VMS:
        deployment.start_vm(vm)
    deployment.wait_ready()
    deployment.wait_watching('vm-1')
    deployment.add_target('t2')
    deployment.register('t2', born=1000, cold_left='3000ms')
    time.sleep(CRASH_AFTER_SECONDS)


def answer_unavailable(_request):
    return 503


def start_under_its_id(deployment):
    deployment.register('t2', born=3800, cold_left='3000ms')


def start_under_another_id(deployment):
    deployment.remove('servers', 't2')
    deployment.targets['t2'].name = 't2-again'
    deployment._ips['t2-again'] = deployment._ips['t2']
    deployment.register('t2-again', born=3800, cold_left='3000ms')


@pytest.mark.parametrize('start', (start_under_its_id, start_under_another_id))
def test_target_that_starts_again_is_cold_for_its_whole_time(start):
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        begin(deployment)
        time.sleep(DOWN_SECONDS)
        start(deployment)
        while_cold = send_requests(deployment, COLD_SECONDS - 0.1)
        assert count_most_in_a_second(while_cold) <= MAX_PER_SECOND
        warm = send_requests(deployment, FOLLOW_SECONDS + 2.0)
        assert count_most_in_a_second(warm) > MAX_PER_SECOND


def test_target_that_starts_again_while_the_store_is_down_is_cold():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        begin(deployment)
        time.sleep(COLD_SECONDS)
        target = deployment.targets['t2']
        host = deployment._ips['t2']
        deployment.store.decide_fault = answer_unavailable
        deployment.call_in_loop(target.crash)
        send_requests(deployment, DOWN_SECONDS)
        deployment.run_coroutine(target.start(host, TARGET_PORT))
        while_cold = send_requests(deployment, COLD_SECONDS - 0.1)
        assert count_most_in_a_second(while_cold) <= MAX_PER_SECOND
