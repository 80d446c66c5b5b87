"""VMs as real processes while the store, targets and other VMs fail."""

import signal
import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import KEY, make_configuration, make_rule
from toucanhall import cmdline
from toucanhall.observe import events

NETWORK_OCTET = 62
VMS = ('vm-1', 'vm-2', 'vm-3')
CONFIGURATION_TIMEOUT_SECONDS = (
    2.5  # bound of the deployments, from the acknowledgement
)
EVACUATION_TIMEOUT_SECONDS = 5.0
HELD_SECONDS = 1.8  # less than the two seconds by the time of a round
WITHOUT_STORE_TIMEOUT_SECONDS = (
    CONFIGURATION_TIMEOUT_SECONDS + 5.0
)  # for a VM that the store turns away


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
                len(deployment.ask_directory(vm, 'east-a')) == 2 for vm in VMS
            ),
            'VMs know each other',
        )
        yield deployment


def get_statuses(deployment, vms=VMS, **fields):
    outcomes = {vm: deployment.request(vm, **fields) for vm in vms}
    # Shown when a test fails: the reason of each answer.
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

    deployment.do(deployment.store.set_fault, decide)


def test_withdrawn_key_is_denied_everywhere_in_time(deployment):
    assert set(get_statuses(deployment).values()) == {200}
    withdraw_key(deployment)
    wait_until(
        lambda: set(get_statuses(deployment).values()) == {401},
        'denied',
        timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS,
    )


def test_vm_that_the_store_turns_away_hears_of_changes_from_others(deployment):
    deployment.start_vm('vm-4', store=deployment.get_ip('vm-1') + ':1')
    deployment.wait_ready('vm-4')
    assert deployment.request('vm-4').status == 200
    withdraw_key(deployment)
    wait_until(
        lambda: deployment.request('vm-4').status == 401,
        'denied',
        timeout_seconds=WITHOUT_STORE_TIMEOUT_SECONDS,
    )


@pytest.mark.parametrize('fault', (503, 429, 'silent'))
def test_fleet_serves_and_grows_while_the_store_is_away(deployment, fault):
    set_fault(deployment, fault)
    deployment.start_vm('vm-5')
    deployment.wait_ready('vm-5')
    statuses = get_statuses(deployment, (*VMS, 'vm-5'))
    assert set(statuses.values()) == {200}
    set_fault(deployment, None)
    withdraw_key(deployment)
    wait_until(
        lambda: set(get_statuses(deployment, (*VMS, 'vm-5')).values()) == {401},
        'denied after the return',
        timeout_seconds=12,
    )


def test_changes_in_a_lost_history_are_found(deployment):
    wait_until(
        lambda: any(
            'watch' in str(line) for line in deployment.read_log('vm-1')
        ),
        'watched',
    )
    deployment.register('t1', state='draining')
    deployment.do(deployment.store.compact)
    wait_until(
        lambda: deployment.request('vm-1').body.startswith('t2'),
        'draining target is left',
        timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS,
    )


def test_lost_reply_of_the_store_is_settled(deployment):
    lost = []

    def lose_one(request):
        if request.method == b'POST' and not lost:
            lost.append(request)
            return 'lost'
        return None

    deployment.store.fault = lose_one
    deployment.start_vm('vm-6')
    wait_until(
        lambda: len(deployment.ask_directory('vm-6', 'east-a')) == 3, 'found'
    )
    wait_until(lambda: 'vm-6' in deployment.store.objects['vms'], 'registered')
    assert lost


def test_targets_that_lapse_with_the_store_are_kept(deployment):
    set_fault(deployment, 503)
    wait_until(
        lambda: deployment.find_events('vm-1', events.STORE_LOST.number),
        'store lost',
        timeout_seconds=12,
    )
    # Entries lapse after three heartbeats of 1.5 s, the last of which may have
    # been 1.5 s before.
    time.sleep(3.1)
    deployment.remove('servers', 't1')
    deployment.remove('servers', 't2')
    set_fault(deployment, None)
    # The platform promises entries back two seconds after its return.
    returned_at = time.monotonic()
    while time.monotonic() < returned_at + HELD_SECONDS:
        assert set(get_statuses(deployment).values()) == {200}
    deployment.register('t1', sequence=9)
    wait_until(
        lambda: (
            set(get_statuses(deployment).values()) == {200}
            and deployment.request('vm-3').body.startswith('t1')
        ),
        'the target that did not return is left',
        timeout_seconds=5,
    )


def test_evacuated_zone_gets_nothing_until_it_is_taken_back(deployment):
    deployment.write('evacuations', 'east-a', {})
    wait_until(
        lambda: all(
            deployment.request(vm, affinity_key=str(number)).body.startswith(
                't2'
            )
            for vm in VMS
            for number in range(4)
        ),
        'evacuated',
        timeout_seconds=EVACUATION_TIMEOUT_SECONDS,
    )
    deployment.remove('evacuations', 'east-a')
    wait_until(
        lambda: deployment.request('vm-1').body.startswith('t1'),
        'taken back',
    )


def test_homes_bind_route_and_team(deployment):
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


def test_entries_that_cannot_be_read_name_no_target(deployment):
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
        'entries ignored',
    )
    assert set(get_statuses(deployment).values()) == {200}


def test_target_at_the_address_of_another_does_not_run_its_requests(deployment):
    target = deployment.targets['t1']
    target.name = 'another'
    bodies = [
        deployment.request('vm-1', affinity_key=str(number)).body
        for number in range(8)
    ]
    assert all(body.startswith('t2') for body in bodies)
    assert not target.runs


def test_killed_vm_leaves_the_directory_and_returns(deployment):
    deployment.signal_vm('vm-2', signal.SIGKILL)
    address = deployment.get_ip('vm-2') + ':8388'
    wait_until(
        lambda: address not in deployment.ask_directory('vm-1', 'east-a'),
        'left the directory',
        timeout_seconds=6.0,
    )
    deployment.start_vm('vm-2')
    wait_until(
        lambda: address in deployment.ask_directory('vm-1', 'east-a'),
        'named again',
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


def test_vm_that_stood_still_takes_what_it_missed(deployment):
    deployment.signal_vm('vm-2', signal.SIGSTOP)
    time.sleep(4)
    withdraw_key(deployment)
    deployment.signal_vm('vm-2', signal.SIGCONT)
    wait_until(
        lambda: deployment.request('vm-2').status == 401,
        'denied',
        timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS,
    )
    assert deployment.find_events('vm-2', events.RESUMED.number)


@pytest.mark.parametrize('has_signal', (True, False))
def test_changed_settings_are_read(deployment, has_signal):
    path = deployment.folder / 'vm-2.yaml'
    path.write_text(path.read_text() + '\n')
    if has_signal:
        deployment.signal_vm('vm-2', signal.SIGHUP)
    wait_until(
        lambda: deployment.find_events('vm-2', events.RELOADED.number),
        'reloaded',
        timeout_seconds=3,
    )
    path.write_text('node_name: [')
    wait_until(
        lambda: deployment.find_events('vm-2', events.RELOAD_FAILED.number),
        'told that the settings are wrong',
        timeout_seconds=3,
    )
    assert deployment.request('vm-2').status == 200


def test_vm_without_a_configuration_refuses_and_denies_nothing():
    with Deployment(network_octet=NETWORK_OCTET + 1) as deployment:
        set_fault(deployment, 503)
        deployment.start_vm('vm-1')
        wait_until(
            lambda: deployment.request('vm-1').status == 503,
            'refused',
        )
        assert not deployment.is_ready('vm-1')
        assert deployment.request('vm-1', '/nowhere/', key='odd').status == 503
        set_fault(deployment, None)
        deployment.wait_ready('vm-1')


def test_team_is_held_to_its_limit_by_all_vms_together(deployment):
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


def test_failed_request_is_explained_by_its_log_line(deployment):
    outcome = deployment.request('vm-1', key='unknown')
    lines = deployment.find_events('vm-1', events.REQUEST_REFUSED.number)
    (line,) = [line for line in lines if line['request'] == outcome.request_id]
    assert line['reason'] == 'unknown-key'
    assert line['configuration'] == 1
    assert line['status'] == 401


def test_refusal_of_a_team_over_its_limit_is_explained(deployment, capsys):
    team = {'name': 'guides', 'api_keys': [KEY], 'rate_per_s': 2, 'burst': 2}
    deployment.write(
        'config',
        'main',
        make_configuration(deployment.store.revision, teams=[team]),
    )
    refused = []

    def is_refused():
        # The first ones come before a heartbeat has divided the limit.
        deployment.request('vm-1')
        lines = deployment.find_events('vm-1', events.REQUEST_REFUSED.number)
        refused.extend(line['request'] for line in lines if line.get('limit'))
        return refused

    wait_until(is_refused, 'over the limit')
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
