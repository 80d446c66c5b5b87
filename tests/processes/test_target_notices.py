"""Targets that leave or want a pause, with VMs as real processes."""

import time

import pytest

from standins.site.deployment import Deployment

NETWORK_OCTET = 70
VMS = ('vm-1', 'vm-2')
LEAVING = 'Server-Leaving'
# Bounds of the deployments: a VM that has passed on the answer sends nothing
# more after these times, but for two requests in a pause.
DRAIN_SECONDS = 2.5
LEARNING_SECONDS = 0.5
MAX_REQUESTS_IN_A_PAUSE = 2


@pytest.fixture
def deployment():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        for name in ('t1', 't2'):
            deployment.add_target(name)
        for vm in VMS:
            deployment.start_vm(vm)
        deployment.wait_ready()
        yield deployment


def send(deployment, seconds=0.0, vms=VMS):
    """Send requests for eight objects, for some time, and return outcomes."""
    end = time.monotonic() + seconds
    outcomes = []
    while not outcomes or time.monotonic() < end:
        outcomes += [
            deployment.request(vm, affinity_key=str(number))
            for vm in vms
            for number in range(8)
        ]
    return outcomes


def list_arrivals(target, since):
    return [found for found in target.arrivals if found.at > since]


@pytest.mark.parametrize('mode', ('well', 'fail', 'shed'))
def test_target_that_says_it_leaves_gets_no_requests(deployment, mode):
    target = deployment.targets['t1']
    target.headers = {LEAVING: '1'}
    target.mode = mode
    send(deployment)
    told_at = time.monotonic()
    target.headers = {}
    target.mode = 'well'
    outcomes = send(deployment, DRAIN_SECONDS + 0.5)
    assert not list_arrivals(target, told_at + 0.05)
    assert {outcome.status for outcome in outcomes} == {200}
    assert LEAVING.lower() not in {
        name.lower() for found in outcomes for name in found.headers
    }
    deployment.register('t1', born=2)
    time.sleep(1.0)
    send(deployment)
    assert list_arrivals(target, told_at + 0.05)


def test_requests_are_refused_at_once_when_all_targets_leave(deployment):
    for target in deployment.targets.values():
        target.headers = {LEAVING: '1'}
    send(deployment)
    outcomes = send(deployment)
    assert {outcome.body for outcome in outcomes} == {'no-target'}
    assert all(outcome.seconds < 0.25 for outcome in outcomes)


@pytest.mark.parametrize('content', ('0', '', 'x', '1' * 5000))
def test_odd_notices_are_ignored(deployment, content):
    for target in deployment.targets.values():
        target.headers = {LEAVING: content, 'Retry-After': content}
    assert {outcome.status for outcome in send(deployment, 0.5)} == {200}


def test_target_gets_no_requests_in_the_pause_that_it_wants(deployment):
    target = deployment.targets['t1']
    target.refusal_headers = {'Retry-After': '2'}
    target.mode = 'shed'
    send(deployment)
    refused_at = target.arrivals[-1].at
    target.mode = 'well'
    outcomes = send(deployment, 1.7)
    paused = list_arrivals(target, refused_at + LEARNING_SECONDS)
    in_pause = [found for found in paused if found.at < refused_at + 1.9]
    assert len(in_pause) <= MAX_REQUESTS_IN_A_PAUSE
    assert {outcome.status for outcome in outcomes} == {200}
    send(deployment, 1.0)
    assert list_arrivals(target, refused_at + 2.0)


def test_callers_learn_when_the_first_pause_ends(deployment):
    for name, seconds in (('t1', '2.5'), ('t2', '4')):
        deployment.targets[name].refusal_headers = {'Retry-After': seconds}
        deployment.targets[name].mode = 'shed'
    send(deployment)
    outcomes = send(deployment)
    assert {outcome.body for outcome in outcomes} == {'targets-paused'}
    assert all(outcome.seconds < 0.25 for outcome in outcomes)
    waits = [float(found.headers['retry-after']) for found in outcomes]
    assert all(1.5 < wait <= 2.5 for wait in waits)
    deployment.targets['t1'].mode = 'well'
    time.sleep(max(waits))
    assert {outcome.status for outcome in send(deployment)} == {200}
