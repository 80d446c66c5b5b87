"""Targets that name a limit, with VMs that run as real processes."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment, wait_until

NETWORK_OCTET = 66
VMS = ('vm-1', 'vm-2', 'vm-3', 'vm-4')
TARGETS = ('t1', 't2', 't3')
REQUESTS_PER_SECOND = 60
THREADS = 16
# The bound of the deployments: from this time after a target first named its
# limit, it gets in each window at most the limit times a ratio and a slack.
SETTLING_SECONDS = 3.0
LEARNING_SECONDS = 1.0  # half a second, and a few requests of each VM
WINDOW_SECONDS = 4.0
RATIO = 1.5
SLACK = 5


@pytest.fixture(scope='module')
def deployment():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        for name in TARGETS:
            deployment.add_target(name)
        for vm in VMS:
            deployment.start_vm(vm)
        deployment.wait_ready()
        time.sleep(3.0)
        yield deployment


@pytest.fixture(autouse=True)
def drop_limits(deployment):
    yield
    for target in deployment.targets.values():
        target.name_limit('')
    send_steadily(deployment, 3.0)
    for target in deployment.targets.values():
        target.limits.clear()
        target.arrivals.clear()


def send_steadily(deployment, seconds, rate=REQUESTS_PER_SECOND):
    """Send requests for many objects at a rate; return the outcomes."""
    outcomes = []
    started_at = time.monotonic()

    def send_each(thread):
        for number in range(thread, int(seconds * rate), THREADS):
            wait = started_at + number / rate - time.monotonic()
            time.sleep(max(0.0, wait))
            outcomes.append(
                deployment.request(
                    VMS[number % len(VMS)],
                    f'/view/{number}',
                    affinity_key=str(number % 97),
                ),
            )

    with ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(send_each, range(THREADS)))
    return outcomes


def count_most(arrivals, named_at):
    """Return the most arrivals in a window of a target's limit.

    Windows end after the time to settle. Requests count that were sent when
    each VM had passed on an answer with the limit for half a second.
    """
    since = named_at + LEARNING_SECONDS
    times = [arrival.at for arrival in arrivals if arrival.at > since]
    return max(
        (
            sum(end - WINDOW_SECONDS < at <= end for at in times)
            for end in times
            if end >= named_at + SETTLING_SECONDS
        ),
        default=0,
    )


def test_all_vms_together_keep_to_the_limit_of_a_target(deployment):
    target = deployment.targets['t1']
    send_steadily(deployment, 1.0)
    target.name_limit('2.0')
    named_at = time.monotonic()
    outcomes = send_steadily(deployment, 11.0)
    most = count_most(target.arrivals, named_at)
    assert most <= RATIO * 2 * WINDOW_SECONDS + SLACK
    # A limited target is still used.
    since = named_at + SETTLING_SECONDS + WINDOW_SECONDS
    assert sum(arrival.at > since for arrival in target.arrivals) >= 4
    assert {outcome.status for outcome in outcomes} == {200}
    names = {name.lower() for outcome in outcomes for name in outcome.headers}
    assert 'limit' not in ' '.join(names)


def test_target_gets_its_requests_back_when_its_limit_rises_or_ends(deployment):
    target = deployment.targets['t1']
    send_steadily(deployment, 1.0)
    before = len(target.arrivals)
    target.name_limit('1')
    send_steadily(deployment, 4.0)
    target.name_limit('500')
    send_steadily(deployment, 4.0)
    risen_at = time.monotonic()
    send_steadily(deployment, 1.0)
    assert sum(found.at > risen_at for found in target.arrivals) >= before / 2
    target.name_limit('1')
    send_steadily(deployment, 4.0)
    target.name_limit('')
    send_steadily(deployment, 4.0)
    ended_at = time.monotonic()
    send_steadily(deployment, 1.0)
    assert sum(found.at > ended_at for found in target.arrivals) >= before / 2


def test_requests_are_refused_at_once_when_all_targets_are_limited(deployment):
    send_steadily(deployment, 1.0)
    for target in deployment.targets.values():
        target.name_limit('2')
    send_steadily(deployment, 3.0)
    outcomes = send_steadily(deployment, 4.0)
    served = [outcome for outcome in outcomes if outcome.status == 200]
    refused = [outcome for outcome in outcomes if outcome.status == 503]
    assert len(served) + len(refused) == len(outcomes)
    # Three targets of two requests a second for four seconds.
    assert 12 <= len(served) <= 36 + 3 * SLACK
    assert all(outcome.seconds < 0.2 for outcome in refused)
    assert all(outcome.body == 'targets-limited' for outcome in refused)
    assert all(float(outcome.headers['retry-after']) > 0 for outcome in refused)


@pytest.mark.parametrize(
    'content', ('nan', '-1', 'inf', 'none', 'two', '1e2', '', '9' * 5000)
)
def test_malformed_limit_is_not_a_limit(deployment, content):
    target = deployment.targets['t1']
    if content:
        target.name_limit(content)
    outcomes = send_steadily(deployment, 1.0)
    assert {outcome.status for outcome in outcomes} == {200}
    assert len(target.arrivals) >= 5


def test_limit_of_zero_is_asked_again_now_and_then(deployment):
    target = deployment.targets['t1']
    send_steadily(deployment, 1.0)
    target.name_limit('0')
    named_at = time.monotonic()
    send_steadily(deployment, 8.0)
    assert count_most(target.arrivals, named_at) <= SLACK
    target.name_limit('')

    def is_used_again():
        since = time.monotonic()
        send_steadily(deployment, 1.0)
        return sum(found.at > since for found in target.arrivals) >= 5

    wait_until(is_used_again, 'requests at the target', timeout_seconds=40.0)
