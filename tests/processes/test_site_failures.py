"""VMs as real processes while the store, targets or other VMs fail."""

import signal
import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import KEY, make_configuration, make_rule
from toucanhall import cmdline
from toucanhall.observe import events

NETWORK_OCTET = 62
VMS = ('vm-1', 'vm-2', 'vm-3')
# From the acknowledgement of the store; a bound of the deployments.
CONFIGURATION_TIMEOUT_SECONDS = 2.5
EVACUATION_TIMEOUT_SECONDS = 5.0
HELD_SECONDS = 1.8  # 2 s less the time that a round of requests takes
# For a VM that receives changes from other VMs only.
WITHOUT_STORE_TIMEOUT_SECONDS = CONFIGURATION_TIMEOUT_SECONDS + 5.0


@pytest.fixture
def deployment():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        deployment.add_target('t1', 'east-a')
        deployment.add_target('t2', 'west-a')
        for vm, zone in zip(VMS, ('east-a', 'east-a', 'west-a'), strict=True):
            deployment.start_vm(vm, zone)
        deployment.wait_ready()
        wait_until(
            lambda: all(
                len(deployment.resolve_addresses(vm, 'east-a')) == 2
                for vm in VMS
            ),
            'each VM lists both VMs of the zone',
        )
        yield deployment


def get_statuses(deployment, vms=VMS, **fields):
    outcomes = {vm: deployment.request(vm, **fields) for vm in vms}
    # pytest shows this for a failed test: the reason of each answer.
    print(
        {vm: (outcome.status, outcome.body) for vm, outcome in outcomes.items()}
    )
    return {vm: outcome.status for vm, outcome in outcomes.items()}


def withdraw_key(deployment):
    team = {'name': 'guides', 'api_keys': ['other'], 'rate_per_s': 0}
    deployment.write(
        'config',
        'main',
        make_configuration(deployment.store.revision, teams=[team]),
    )


def set_fault(deployment, fault):
    def decide(_request):
        return fault

    deployment.call_in_loop(deployment.store.set_fault, decide)


def test_withdrawn_key_is_denied_by_all_vms_within_the_bound(deployment):
    assert set(get_statuses(deployment).values()) == {200}
    withdraw_key(deployment)
    wait_until(
        lambda: set(get_statuses(deployment).values()) == {401},
        'the withdrawn key is denied',
        timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS,
    )


def test_vm_without_the_store_receives_changes_from_other_vms(deployment):
    deployment.start_vm('vm-4', store=deployment.get_ip('vm-1') + ':1')
    deployment.wait_ready('vm-4')
    assert deployment.request('vm-4').status == 200
    withdraw_key(deployment)
    wait_until(
        lambda: deployment.request('vm-4').status == 401,
        'the withdrawn key is denied',
        timeout_seconds=WITHOUT_STORE_TIMEOUT_SECONDS,
    )


@pytest.mark.parametrize('fault', (503, 429, 'silent'))
def test_fleet_serves_and_a_new_vm_joins_during_a_store_outage(
    deployment, fault
):
    set_fault(deployment, fault)
    deployment.start_vm('vm-5')
    deployment.wait_ready('vm-5')
    statuses = get_statuses(deployment, (*VMS, 'vm-5'))
    assert set(statuses.values()) == {200}
    set_fault(deployment, None)
    withdraw_key(deployment)
    wait_until(
        lambda: set(get_statuses(deployment, (*VMS, 'vm-5')).values()) == {401},
        'all VMs deny the key once the store answers again',
        timeout_seconds=12,
    )


def test_change_is_applied_when_its_history_was_compacted(deployment):
    wait_until(
        lambda: any(
            'watch' in str(line) for line in deployment.read_log('vm-1')
        ),
        'the VM watches the store',
    )
    deployment.register('t1', state='draining')
    deployment.call_in_loop(deployment.store.compact)
    wait_until(
        lambda: deployment.request('vm-1').body.startswith('t2'),
        'no request goes to the draining target',
        timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS,
    )


def test_vm_registers_although_the_answer_of_the_store_was_lost(deployment):
    lost = []

    def lose_one(request):
        if request.method == b'POST' and not lost:
            lost.append(request)
            return 'lost'
        return None

    deployment.store.decide_fault = lose_one
    deployment.start_vm('vm-6')
    wait_until(
        lambda: len(deployment.resolve_addresses('vm-6', 'east-a')) == 3,
        'found',
    )
    wait_until(
        lambda: 'vm-6' in deployment.store.objects['vms'],
        'the VM is registered in the store',
    )
    assert lost


def test_targets_whose_entries_expire_in_a_store_outage_are_kept(deployment):
    set_fault(deployment, 503)
    wait_until(
        lambda: deployment.find_events('vm-1', events.STORE_LOST.number),
        'the VM reports the store as unreachable',
        timeout_seconds=12,
    )
    # Entries expire three heartbeats of 1.5 s after the last one, which may
    # have been sent 1.5 s before the outage.
    time.sleep(3.1)
    deployment.remove('servers', 't1')
    deployment.remove('servers', 't2')
    set_fault(deployment, None)
    # Targets have 2 s to register again after an outage of the store.
    returned_at = time.monotonic()
    while time.monotonic() < returned_at + HELD_SECONDS:
        assert set(get_statuses(deployment).values()) == {200}
    deployment.register('t1', sequence=9)
    wait_until(
        lambda: (
            set(get_statuses(deployment).values()) == {200}
            and deployment.request('vm-3').body.startswith('t1')
        ),
        'no request goes to the target that did not register again',
        timeout_seconds=5,
    )


def test_evacuated_zone_receives_no_requests_until_it_is_restored(deployment):
    deployment.write('evacuations', 'east-a', {})
    wait_until(
        lambda: all(
            deployment.request(vm, affinity_key=str(number)).body.startswith(
                't2'
            )
            for vm in VMS
            for number in range(4)
        ),
        'no request goes to the evacuated zone',
        timeout_seconds=EVACUATION_TIMEOUT_SECONDS,
    )
    deployment.remove('evacuations', 'east-a')
    wait_until(
        lambda: deployment.request('vm-1').body.startswith('t1'),
        'requests go to the zone again',
    )


def test_requests_stay_in_home_regions_of_their_route_and_team(deployment):
    rules = [
        make_rule('/view/', home_regions=['west']),
        make_rule('/book/', home_regions=['east', 'west']),
    ]
    teams = [{'name': 'guides', 'api_keys': [KEY], 'home_regions': ['west']}]
    deployment.write(
        'config',
        'main',
        make_configuration(deployment.store.revision, rules=rules, teams=teams),
    )
    time.sleep(1.0)
    for path in ('/view/1', '/book/1'):
        bodies = [
            deployment.request(vm, path, affinity_key=str(number)).body
            for vm in VMS
            for number in range(4)
        ]
        assert all(body.startswith('t2') for body in bodies)


def test_malformed_target_entries_are_ignored(deployment):
    for name, spec in (
        ('bad-1', {'service': 'guide'}),
        ('bad-2', 'text'),
        ('bad-3', None),
        ('bad-4', {'service': 'guide', 'address': 4, 'zone': [], 'slots': '9'}),
        ('bad-5', {'state': 'odd'}),
    ):
        deployment.write('servers', name, spec)
    deployment.register('t1', sequence=2, slots=8)
    wait_until(
        lambda: (
            len(deployment.find_events('vm-1', events.ENTRY_IGNORED.number))
            >= 4
        ),
        'the VM logs the ignored entries',
    )
    assert set(get_statuses(deployment).values()) == {200}


def test_target_executes_no_request_meant_for_another(deployment):
    target = deployment.targets['t1']
    target.name = 'another'
    bodies = [
        deployment.request('vm-1', affinity_key=str(number)).body
        for number in range(8)
    ]
    assert all(body.startswith('t2') for body in bodies)
    assert not target.executed


def test_killed_vm_leaves_the_directory_until_its_restart(deployment):
    deployment.signal_vm('vm-2', signal.SIGKILL)
    address = deployment.get_ip('vm-2') + ':8388'
    wait_until(
        lambda: address not in deployment.resolve_addresses('vm-1', 'east-a'),
        'the directory no longer lists the killed VM',
        timeout_seconds=6.0,
    )
    deployment.start_vm('vm-2')
    wait_until(
        lambda: address in deployment.resolve_addresses('vm-1', 'east-a'),
        'the directory lists the restarted VM',
        timeout_seconds=3.0,
    )


def test_all_vms_killed_at_once_serve_again(deployment):
    withdraw_key(deployment)
    for vm in VMS:
        deployment.signal_vm(vm, signal.SIGKILL)
    for vm, zone in zip(VMS, ('east-a', 'east-a', 'west-a'), strict=True):
        deployment.start_vm(vm, zone)
    deployment.wait_ready()
    assert set(get_statuses(deployment).values()) == {401}
    assert set(get_statuses(deployment, key='other').values()) == {200}


def test_vm_applies_a_change_that_it_missed_while_paused(deployment):
    deployment.signal_vm('vm-2', signal.SIGSTOP)
    time.sleep(4)
    withdraw_key(deployment)
    deployment.signal_vm('vm-2', signal.SIGCONT)
    wait_until(
        lambda: deployment.request('vm-2').status == 401,
        'the withdrawn key is denied',
        timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS,
    )
    assert deployment.find_events('vm-2', events.RESUMED.number)


@pytest.mark.parametrize('has_signal', (True, False))
def test_changed_settings_are_reloaded_and_invalid_ones_ignored(
    deployment, has_signal
):
    path = deployment.folder / 'vm-2.yaml'
    path.write_text(path.read_text() + '\n')
    if has_signal:
        deployment.signal_vm('vm-2', signal.SIGHUP)
    wait_until(
        lambda: deployment.find_events('vm-2', events.RELOADED.number),
        'the VM reloads its settings',
        timeout_seconds=3,
    )
    path.write_text('node_name: [')
    wait_until(
        lambda: deployment.find_events('vm-2', events.RELOAD_FAILED.number),
        'the VM logs that the settings are invalid',
        timeout_seconds=3,
    )
    assert deployment.request('vm-2').status == 200


def test_vm_without_a_configuration_refuses_but_never_denies():
    with Deployment(network_octet=NETWORK_OCTET + 1) as deployment:
        set_fault(deployment, 503)
        deployment.start_vm('vm-1')
        wait_until(
            lambda: deployment.request('vm-1').status == 503,
            'the VM refuses requests',
        )
        assert not deployment.is_ready('vm-1')
        assert deployment.request('vm-1', '/nowhere/', key='odd').status == 503
        set_fault(deployment, None)
        deployment.wait_ready('vm-1')


def test_all_vms_together_enforce_the_limit_of_a_team(deployment):
    team = {
        'name': 'guides',
        'api_keys': [KEY],
        'rate_per_s': 20,
        'burst': 20,
    }
    deployment.write(
        'config',
        'main',
        make_configuration(deployment.store.revision, teams=[team]),
    )
    time.sleep(1.0)
    started_at = time.monotonic()
    statuses = []
    while time.monotonic() - started_at < 5:
        statuses.extend(get_statuses(deployment).values())
    admitted = statuses.count(200)
    assert admitted <= (20 * 5 + 20) * 1.1 + 20
    assert admitted >= 40
    assert set(statuses) == {200, 429}
    line = next(
        line
        for line in deployment.find_events(
            'vm-1', events.REQUEST_REFUSED.number
        )
        if line['reason'] == 'over-quota'
    )
    assert line['team'] == 'guides'
    assert line['limit'] == 110
    assert {'spent', 'part', 'age', 'retry_after'} <= line.keys()


def test_log_line_of_a_refused_request_names_the_reason(deployment):
    outcome = deployment.request('vm-1', key='unknown')
    lines = deployment.find_events('vm-1', events.REQUEST_REFUSED.number)
    (line,) = [line for line in lines if line['request'] == outcome.request_id]
    assert line['reason'] == 'unknown-key'
    assert line['configuration'] == 1
    assert line['status'] == 401


def test_explain_names_the_figures_of_a_refusal_over_the_limit(
    deployment, capsys
):
    team = {'name': 'guides', 'api_keys': [KEY], 'rate_per_s': 2, 'burst': 2}
    deployment.write(
        'config',
        'main',
        make_configuration(deployment.store.revision, teams=[team]),
    )
    refused = []

    def is_refused():
        # The first refusals precede the heartbeat that divides the limit.
        deployment.request('vm-1')
        lines = deployment.find_events('vm-1', events.REQUEST_REFUSED.number)
        refused.extend(line['request'] for line in lines if line.get('limit'))
        return refused

    wait_until(is_refused, 'a refusal names the limit of the team')
    logs = [str(path) for path in deployment.folder.glob('*.log')]
    assert cmdline.run(['explain', refused[-1], *logs]) == 0
    explanation = capsys.readouterr().out
    for expected_text in (
        '[310] configuration in force',
        '[402] VMs that take requests changed',
        'status=429 reason="over-quota"',
        'team="guides"',
        'limit=',
        'spent=',
        'part=',
        'age=',
    ):
        assert expected_text in explanation, explanation
