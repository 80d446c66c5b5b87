"""VMs as real processes while the store, targets and other VMs fail."""

import signal
import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import KEY, make_configuration, make_rule
from toucanhall import cmdline
from toucanhall.observe import events

NET = 62
VMS = ('vm-1', 'vm-2', 'vm-3')
CONFIG_SECONDS = 2.5  # bound of the deployments, from the acknowledgement
EVACUATE_SECONDS = 5.0
RETURN_SECONDS = 1.8  # less than the two seconds by the time of a round
CUT_SECONDS = CONFIG_SECONDS + 5.0  # for a VM that the store turns away


@pytest.fixture
def site():
    with Deployment(net=NET) as deployment:
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
            'VMs know each other',
        )
        yield deployment


def get_statuses(site, vms=VMS, **fields):
    outcomes = {vm: site.request(vm, **fields) for vm in vms}
    # Shown when a test fails: the reason of each answer.
    print({vm: (found.status, found.body) for vm, found in outcomes.items()})
    return {vm: found.status for vm, found in outcomes.items()}


def withdraw_key(site):
    team = {'name': 'guides', 'api_keys': ['other'], 'rate_per_s': 0}
    site.write(
        'config',
        'main',
        make_configuration(site.store.revision, teams=[team]),
    )


def set_fault(site, fault):
    def decide(_request):
        return fault

    site.call_in_loop(site.store.set_fault, decide)


def test_withdrawn_key_is_denied_everywhere_in_time(site):
    assert set(get_statuses(site).values()) == {200}
    withdraw_key(site)
    wait_until(
        lambda: set(get_statuses(site).values()) == {401},
        'denied',
        seconds=CONFIG_SECONDS,
    )


def test_vm_that_the_store_turns_away_hears_of_changes_from_others(site):
    site.start_vm('vm-4', store=site.get_ip('vm-1') + ':1')
    site.wait_ready('vm-4')
    assert site.request('vm-4').status == 200
    withdraw_key(site)
    wait_until(
        lambda: site.request('vm-4').status == 401,
        'denied',
        seconds=CUT_SECONDS,
    )


@pytest.mark.parametrize('fault', (503, 429, 'silent'))
def test_fleet_serves_and_grows_while_the_store_is_away(site, fault):
    set_fault(site, fault)
    site.start_vm('vm-5')
    site.wait_ready('vm-5')
    statuses = get_statuses(site, (*VMS, 'vm-5'))
    assert set(statuses.values()) == {200}
    set_fault(site, None)
    withdraw_key(site)
    wait_until(
        lambda: set(get_statuses(site, (*VMS, 'vm-5')).values()) == {401},
        'denied after the return',
        seconds=12,
    )


def test_changes_in_a_lost_history_are_found(site):
    wait_until(
        lambda: any('watch' in str(line) for line in site.read_log('vm-1')),
        'watched',
    )
    site.register('t1', state='draining')
    site.call_in_loop(site.store.compact)
    wait_until(
        lambda: site.request('vm-1').body.startswith('t2'),
        'draining target is left',
        seconds=CONFIG_SECONDS,
    )


def test_lost_reply_of_the_store_is_settled(site):
    lost = []

    def lose_one(request):
        if request.method == b'POST' and not lost:
            lost.append(request)
            return 'lost'
        return None

    site.store.decide_fault = lose_one
    site.start_vm('vm-6')
    wait_until(
        lambda: len(site.resolve_addresses('vm-6', 'east-a')) == 3, 'found'
    )
    wait_until(lambda: 'vm-6' in site.store.objects['vms'], 'registered')
    assert lost


def test_targets_that_lapse_with_the_store_are_kept(site):
    set_fault(site, 503)
    wait_until(
        lambda: site.find_events('vm-1', events.STORE_LOST.number),
        'store lost',
        seconds=12,
    )
    # Entries lapse after three heartbeats of 1.5 s, the last of which may have
    # been 1.5 s before.
    time.sleep(3.1)
    site.remove('servers', 't1')
    site.remove('servers', 't2')
    set_fault(site, None)
    # The platform promises entries back two seconds after its return.
    returned_at = time.monotonic()
    while time.monotonic() < returned_at + RETURN_SECONDS:
        assert set(get_statuses(site).values()) == {200}
    site.register('t1', sequence=9)
    wait_until(
        lambda: (
            set(get_statuses(site).values()) == {200}
            and site.request('vm-3').body.startswith('t1')
        ),
        'the target that did not return is left',
        seconds=5,
    )


def test_evacuated_zone_gets_nothing_until_it_is_taken_back(site):
    site.write('evacuations', 'east-a', {})
    wait_until(
        lambda: all(
            site.request(vm, item=str(item)).body.startswith('t2')
            for vm in VMS
            for item in range(4)
        ),
        'evacuated',
        seconds=EVACUATE_SECONDS,
    )
    site.remove('evacuations', 'east-a')
    wait_until(
        lambda: site.request('vm-1').body.startswith('t1'),
        'taken back',
    )


def test_homes_bind_route_and_team(site):
    rules = [
        make_rule('/view/', home_regions=['west']),
        make_rule('/book/', home_regions=['east', 'west']),
    ]
    teams = [{'name': 'guides', 'api_keys': [KEY], 'home_regions': ['west']}]
    site.write(
        'config',
        'main',
        make_configuration(site.store.revision, rules=rules, teams=teams),
    )
    time.sleep(1.0)
    for path in ('/view/1', '/book/1'):
        bodies = [
            site.request(vm, path, item=str(item)).body
            for vm in VMS
            for item in range(4)
        ]
        assert all(body.startswith('t2') for body in bodies)


def test_entries_that_cannot_be_read_name_no_target(site):
    for name, spec in (
        ('bad-1', {'service': 'guide'}),
        ('bad-2', 'text'),
        ('bad-3', None),
        ('bad-4', {'service': 'guide', 'address': 4, 'zone': [], 'slots': '9'}),
        ('bad-5', {'state': 'odd'}),
    ):
        site.write('servers', name, spec)
    site.register('t1', sequence=2, slots=8)
    wait_until(
        lambda: len(site.find_events('vm-1', events.ENTRY_IGNORED.number)) >= 4,
        'entries ignored',
    )
    assert set(get_statuses(site).values()) == {200}


def test_target_at_the_address_of_another_does_not_run_its_requests(site):
    target = site.targets['t1']
    target.name = 'another'
    bodies = [site.request('vm-1', item=str(item)).body for item in range(8)]
    assert all(body.startswith('t2') for body in bodies)
    assert not target.executed


def test_killed_vm_leaves_the_directory_and_returns(site):
    site.signal_vm('vm-2', signal.SIGKILL)
    address = site.get_ip('vm-2') + ':8388'
    wait_until(
        lambda: address not in site.resolve_addresses('vm-1', 'east-a'),
        'left the directory',
        seconds=6.0,
    )
    site.start_vm('vm-2')
    wait_until(
        lambda: address in site.resolve_addresses('vm-1', 'east-a'),
        'named again',
        seconds=3.0,
    )


def test_all_vms_killed_at_once_serve_again(site):
    withdraw_key(site)
    for vm in VMS:
        site.signal_vm(vm, signal.SIGKILL)
    for vm, zone in zip(VMS, ('east-a', 'east-a', 'west-a'), strict=True):
        site.start_vm(vm, zone)
    site.wait_ready()
    assert set(get_statuses(site).values()) == {401}
    assert set(get_statuses(site, key='other').values()) == {200}


def test_vm_that_stood_still_takes_what_it_missed(site):
    site.signal_vm('vm-2', signal.SIGSTOP)
    time.sleep(4)
    withdraw_key(site)
    site.signal_vm('vm-2', signal.SIGCONT)
    wait_until(
        lambda: site.request('vm-2').status == 401,
        'denied',
        seconds=CONFIG_SECONDS,
    )
    assert site.find_events('vm-2', events.RESUMED.number)


@pytest.mark.parametrize('has_signal', (True, False))
def test_changed_settings_are_read(site, has_signal):
    path = site.folder / 'vm-2.yaml'
    path.write_text(path.read_text() + '\n')
    if has_signal:
        site.signal_vm('vm-2', signal.SIGHUP)
    wait_until(
        lambda: site.find_events('vm-2', events.RELOADED.number),
        'reloaded',
        seconds=3,
    )
    path.write_text('node_name: [')
    wait_until(
        lambda: site.find_events('vm-2', events.RELOAD_FAILED.number),
        'told that the settings are wrong',
        seconds=3,
    )
    assert site.request('vm-2').status == 200


def test_vm_without_a_configuration_refuses_and_denies_nothing():
    with Deployment(net=NET + 1) as site:
        set_fault(site, 503)
        site.start_vm('vm-1')
        wait_until(
            lambda: site.request('vm-1').status == 503,
            'refused',
        )
        assert not site.is_ready('vm-1')
        assert site.request('vm-1', '/nowhere/', key='odd').status == 503
        set_fault(site, None)
        site.wait_ready('vm-1')


def test_team_is_held_to_its_limit_by_all_vms_together(site):
    team = {
        'name': 'guides',
        'api_keys': [KEY],
        'rate_per_s': 20,
        'burst': 20,
    }
    site.write(
        'config',
        'main',
        make_configuration(site.store.revision, teams=[team]),
    )
    time.sleep(1.0)
    began = time.monotonic()
    statuses = []
    while time.monotonic() - began < 5:
        statuses.extend(get_statuses(site).values())
    admitted = statuses.count(200)
    assert admitted <= (20 * 5 + 20) * 1.1 + 20
    assert admitted >= 40
    assert set(statuses) == {200, 429}
    line = next(
        found
        for found in site.find_events('vm-1', events.REQUEST_REFUSED.number)
        if found['reason'] == 'over-quota'
    )
    assert line['team'] == 'guides'
    assert line['limit'] == 110
    assert {'spent', 'part', 'age', 'retry_after'} <= line.keys()


def test_failed_request_is_explained_by_its_log_line(site):
    found = site.request('vm-1', key='unknown')
    lines = site.find_events('vm-1', events.REQUEST_REFUSED.number)
    (line,) = [line for line in lines if line['request'] == found.request_id]
    assert line['reason'] == 'unknown-key'
    assert line['configuration'] == 1
    assert line['status'] == 401


def test_refusal_of_a_team_over_its_limit_is_explained(site, capsys):
    team = {'name': 'guides', 'api_keys': [KEY], 'rate_per_s': 2, 'burst': 2}
    site.write(
        'config',
        'main',
        make_configuration(site.store.revision, teams=[team]),
    )
    refused = []

    def is_refused():
        # The first ones come before a heartbeat has divided the limit.
        site.request('vm-1')
        lines = site.find_events('vm-1', events.REQUEST_REFUSED.number)
        refused.extend(line['request'] for line in lines if line.get('limit'))
        return refused

    wait_until(is_refused, 'over the limit')
    logs = [str(path) for path in site.folder.glob('*.log')]
    assert cmdline.run(['explain', refused[-1], *logs]) == 0
    story = capsys.readouterr().out
    for told in (
        '[310] configuration in force',
        '[402] VMs that take requests changed',
        'status=429 reason="over-quota"',
        'team="guides"',
        'limit=',
        'spent=',
        'part=',
        'age=',
    ):
        assert told in story, story
