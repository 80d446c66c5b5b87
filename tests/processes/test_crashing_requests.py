"""A request crashes each target that begins to run it, and comes again.

Failure that they guard against: it ends target after target, and takes the
requests of others with it.
"""

import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import KEY, make_configuration

NETWORK_OCTET = 72
VMS = {'vm-1': 'east-a', 'vm-2': 'east-a', 'vm-3': 'west-a'}
TARGETS = {
    **{f't{number}': 'east-a' for number in range(5)},
    **{f'w{number}': 'west-a' for number in range(4)},
}
ALL_VMS = tuple(VMS)
RESTART_SECONDS = 1.0
PAUSE_SECONDS = 0.2
# Bounds of the deployments: from so long after the third crash on, the request
# reaches targets in no more than three tries.
LEARNING_SECONDS = 3.0
MAX_LATER_ARRIVALS = 3
CRASH_COUNT = 3
LONG_SECONDS = 10.0
DEADLY_PATH = '/view/deadly'
OTHER_KEY = 'hostel-key'
TEAMS = [
    {'name': name, 'api_keys': [key], 'rate_per_s': 0}
    for name, key in (('guides', KEY), ('hostels', OTHER_KEY))
]


class CrashingDeployment(Deployment):
    """A deployment in which one request crashes targets."""

    def __init__(self):
        super().__init__(network_octet=NETWORK_OCTET)
        self.sent = []
        self.started_at = time.monotonic()

    def add_targets(self, version='v1'):
        for name, zone in TARGETS.items():
            target = self.add_target(name, zone)
            target.is_deadly = is_deadly
            self.restart_after_crashes(
                name, seconds=RESTART_SECONDS, version=version
            )

    def send_deadly(self, vm, **fields):
        outcome = self.request(vm, **{'path': DEADLY_PATH, **fields})
        self.sent.append(outcome)
        return outcome

    def repeat_deadly(self, seconds, vms=ALL_VMS):
        """Send the request again and again, at one VM after the other."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for vm in vms:
                self.send_deadly(vm)
                time.sleep(PAUSE_SECONDS)

    def list_crashes(self):
        return sorted(
            crash
            for target in self.targets.values()
            for crash in target.crashes
        )

    def list_deadly_arrivals(self, since):
        deadly_ids = {outcome.request_id for outcome in self.sent}
        return [
            arrival
            for target in self.targets.values()
            for arrival in target.arrivals
            if arrival.at > since and arrival.request_id in deadly_ids
        ]

    def count_later_arrivals(self):
        """Return the arrivals that the third crash should have prevented."""
        crashes = self.list_crashes()
        assert len(crashes) >= CRASH_COUNT
        third_at = crashes[CRASH_COUNT - 1].at
        return len(self.list_deadly_arrivals(third_at + LEARNING_SECONDS))

    def list_executed_ids(self):
        return {
            executed.request_id
            for target in self.targets.values()
            for executed in target.executed
        }

    def wait_held_back(self, *vms):
        wait_until(
            lambda: all(
                self.send_deadly(vm).body == 'request-held-back' for vm in vms
            ),
            f'the request is held back by {vms}',
        )


def is_deadly(request):
    return (
        request.path == DEADLY_PATH
        and request.team == 'guides'
        and not request.body
    )


@pytest.fixture
def bare_deployment():
    with CrashingDeployment() as deployment:
        deployment.write('config', 'main', make_configuration(2, teams=TEAMS))
        deployment.add_targets()
        yield deployment


@pytest.fixture
def deployment(bare_deployment):
    for vm, zone in VMS.items():
        bare_deployment.start_vm(vm, zone)
    bare_deployment.wait_ready()
    bare_deployment.wait_watching('vm-1', 'vm-3')
    return bare_deployment


def test_request_that_crashed_three_targets_is_held_back(deployment):
    deployment.repeat_deadly(LONG_SECONDS)
    assert deployment.count_later_arrivals() <= MAX_LATER_ARRIVALS


def test_several_crashing_requests_are_held_back(deployment):
    paths = [f'{DEADLY_PATH}/{number}' for number in range(3)]
    for target in deployment.targets.values():
        target.is_deadly = lambda request: request.path in paths
    end = time.monotonic() + LONG_SECONDS
    while time.monotonic() < end:
        for vm in VMS:
            for path in paths:
                deployment.send_deadly(vm, path=path)
            time.sleep(PAUSE_SECONDS)
    ids_by_path = {
        path: {
            executed.request_id
            for target in deployment.targets.values()
            for executed in target.executed
            if executed.path == path
        }
        for path in paths
    }
    for ids in ids_by_path.values():
        crashes = [
            crash
            for crash in deployment.list_crashes()
            if crash.request_id in ids
        ]
        if len(crashes) < CRASH_COUNT:
            continue
        third_at = crashes[CRASH_COUNT - 1].at
        later = deployment.list_deadly_arrivals(third_at + LEARNING_SECONDS)
        arrived = [found for found in later if found.request_id in ids]
        assert len(arrived) <= MAX_LATER_ARRIVALS
    lately = deployment.sent[-len(paths) * len(VMS) :]
    assert {found.body for found in lately} == {'request-held-back'}


def test_zones_that_are_cut_from_each_other_hold_a_request_back(
    bare_deployment,
):
    deployment = bare_deployment
    for number, (vm, zone) in enumerate(VMS.items()):
        port = 7560 + 16 * number
        deployment.start_vm(vm, zone, internal_ports=(port, port + 15))
    deployment.wait_ready()
    deployment.repeat_deadly(LONG_SECONDS)
    assert deployment.count_later_arrivals() <= MAX_LATER_ARRIVALS


def test_each_answer_to_a_crashing_request_is_true(deployment):
    deployment.repeat_deadly(6.0)
    executed = deployment.list_executed_ids()
    refused = [found for found in deployment.sent if found.status == 503]
    assert refused
    assert not {found.request_id for found in refused} & executed
    assert {found.status for found in deployment.sent} <= {502, 503, 504}
    assert all(found.seconds < 0.25 for found in refused)
    assert all(float(found.headers['retry-after']) > 0 for found in refused)


def test_vm_that_starts_holds_the_request_back(deployment):
    deployment.repeat_deadly(4.0)
    deployment.wait_held_back(*VMS)
    deployment.start_vm('vm-4', 'west-a')
    deployment.wait_ready('vm-4')
    began = time.monotonic()
    for _ in range(5):
        deployment.send_deadly('vm-4')
    assert not deployment.list_deadly_arrivals(began)


def test_restored_store_does_not_free_the_request(deployment):
    stored = deployment.compute_in_loop(deployment.store.make_copy)
    deployment.repeat_deadly(4.0)
    deployment.wait_held_back(*VMS)
    deployment.call_in_loop(deployment.store.set_fault, lambda _request: 503)
    time.sleep(1.0)
    deployment.call_in_loop(deployment.store.restore, stored)
    deployment.call_in_loop(deployment.store.set_fault, lambda _request: None)
    time.sleep(2.0)
    deployment.start_vm('vm-4', 'west-a')
    deployment.wait_ready('vm-4')
    began = time.monotonic()
    deployment.repeat_deadly(3.0, vms=(*VMS, 'vm-4'))
    assert len(deployment.list_deadly_arrivals(began)) <= MAX_LATER_ARRIVALS


def test_other_paths_bodies_and_callers_are_served(deployment):
    deployment.repeat_deadly(4.0)
    deployment.wait_held_back(*VMS)
    time.sleep(RESTART_SECONDS + 1.0)
    for vm in VMS:
        for fields in (
            {'path': '/view/other'},
            {'path': f'{DEADLY_PATH}?page=2'},
            {'path': DEADLY_PATH, 'key': OTHER_KEY},
            {'path': DEADLY_PATH, 'method': 'POST', 'body': b'other'},
        ):
            assert deployment.request(vm, **fields).status == 200, fields


def test_requests_at_the_same_targets_are_served(deployment):
    for target in deployment.targets.values():
        target.work_seconds = 0.05
    end = time.monotonic() + 8.0
    outcomes = []
    number = 0
    while time.monotonic() < end:
        for vm in VMS:
            number += 1
            if number % 5 == 0:
                deployment.send_deadly(vm)
            outcomes.append(deployment.request(vm, path=f'/view/{number % 7}'))
    lately = outcomes[len(outcomes) // 2 :]
    assert {found.status for found in lately} == {200}


def test_hot_object_is_served_while_its_targets_crash(deployment):
    statuses = []
    end = time.monotonic() + 6.0
    last_crash_at = 0.0
    crashed = 0
    while time.monotonic() < end:
        for vm in VMS:
            statuses.append(deployment.request(vm, path='/view/hot').status)
        if time.monotonic() - last_crash_at > 0.5:
            last_crash_at = time.monotonic()
            names = list(TARGETS)
            target = deployment.targets[names[crashed % len(names)]]
            crashed += 1
            deployment.call_in_loop(target.crash)
    assert len(deployment.list_crashes()) > CRASH_COUNT
    assert set(statuses) == {200}


@pytest.mark.parametrize('mode', ('lost', 'cut'))
def test_lost_answers_of_targets_that_live_hold_nothing_back(deployment, mode):
    for target in deployment.targets.values():
        target.mode = mode
    for _ in range(4):
        for vm in VMS:
            assert deployment.request(vm, path='/view/1').status == 502
    for target in deployment.targets.values():
        target.mode = 'well'
    for vm in VMS:
        assert deployment.request(vm, path='/view/1').status == 200


def test_corrected_release_serves_the_request_again(deployment):
    deployment.repeat_deadly(4.0)
    deployment.wait_held_back(*VMS)
    time.sleep(RESTART_SECONDS + 0.5)
    for name in ('t0', 'w0'):
        deployment.targets[name].is_deadly = lambda _request: False
        deployment.register(name, TARGETS[name], version='v2', born=99)
    wait_until(
        lambda: all(deployment.send_deadly(vm).status == 200 for vm in VMS),
        'all VMs serve the request',
        timeout_seconds=5.0,
    )
    began = len(deployment.list_crashes())
    for _ in range(5):
        for vm in VMS:
            assert deployment.send_deadly(vm).status == 200
    assert len(deployment.list_crashes()) == began
