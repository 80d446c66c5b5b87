"""Tests of the operators' API."""

import json

import pytest
from hypothesis import given, settings

from tests.admin_api import AdminApi
from tests.builders import make_document
from tests.mutations import mutate
from tests.stores import MemoryStore
from toucanhall.admin.audit import Audit, AuditEntry
from toucanhall.admin.routes import ROUTES
from toucanhall.spread.record import decode

KEY = {'team': 'hostels', 'digest': 'b' * 64}


@pytest.fixture(name='api')
def make_api(monkeypatch):
    """Return an API with a catalogue in force; sleeping takes no time."""
    monkeypatch.setattr('time.sleep', lambda _seconds: None)
    api = AdminApi()
    assert api.apply()[0] == 200
    return api


def test_unknown_token_is_rejected_and_counted(api):
    assert api.call('GET', 'status', token='guess')[0] == 401
    assert api.counters.read() == {'admin.token-unknown': 1}


def test_every_route_has_a_handler(api):
    assert {(route.method, route.path) for route in ROUTES} == set(
        api.admin.handlers
    )


def test_unknown_path_and_method_have_their_own_statuses(api):
    assert api.call('GET', 'nothing')[0] == 404
    assert api.call('POST', 'catalogue')[0] == 405


@pytest.mark.parametrize(
    ('role', 'expected'),
    [('read', 403), ('owner', 200), ('operate', 200), ('administer', 200)],
)
def test_only_some_roles_may_grant_a_key(api, role, expected):
    assert api.call('PUT', 'keys/new', KEY, role)[0] == expected


@pytest.mark.parametrize(
    ('changes', 'owner', 'operate'),
    [
        ({'keys': {}}, 200, 200),
        ({'drains': {'targets': ['guide-1']}}, 403, 200),
        ({'hold_seconds': 9}, 403, 403),
        ({'teams': {'hostels': {'rate': 11, 'burst': 20}}}, 403, 403),
        ({'teams': {'hostels': {'rate': 9, 'burst': 20}}}, 200, 403),
        ({'routes': make_document()['routes'][:1]}, 200, 403),
        ({'routes': make_document()['routes'][1:]}, 403, 403),
    ],
)
def test_role_limits_what_a_replacement_may_change(
    api, changes, owner, operate
):
    assert api.apply(1, 'owner', **changes)[0] == owner
    held = api.admin.handlers['GET', 'catalogue'](None)[1]['revision']
    other = AdminApi()
    other.apply()
    assert other.apply(1, 'operate', **changes)[0] == operate
    assert held == 1 + (owner == 200)


def test_owner_cannot_take_over_a_key_of_another_team():
    api = AdminApi()
    teams = {name: {'rate': 1, 'burst': 1} for name in ('hostels', 'others')}
    key = {'team': 'others', 'digest': 'c' * 64}
    api.apply(teams=teams, keys={'theirs': key})
    assert api.call('PUT', 'keys/theirs', KEY, 'owner')[0] == 403
    assert api.call('DELETE', 'keys/theirs', token='owner')[0] == 403


def test_conflict_names_expected_and_current_revision(api):
    api.apply(1, hold_seconds=2)
    status, body = api.apply(1, hold_seconds=3)
    assert (status, body['expected'], body['current']) == (412, 1, 2)
    assert body['newest_change']['what'] == ['hold_seconds added']


def test_replacing_needs_if_match(api):
    assert api.call('PUT', 'catalogue', make_document())[0] == 428


def test_key_edit_is_retried_after_a_conflict(api):
    rival = AdminApi(api.store)
    rival.admin._holder.offer(api.admin._holder.current)

    def write_concurrently(name):
        api.store.before_write = lambda _name: None
        rival.call('PUT', 'keys/rival', {**KEY, 'digest': 'd' * 64})
        api.admin._holder.offer(rival.admin._holder.current)

    api.store.before_write = write_concurrently
    status, body = api.call('PUT', 'keys/mine', KEY)
    assert (status, body['accepted']) == (200, 3)
    keys = api.call('GET', 'keys')[1]['keys']
    assert {'rival', 'mine', 'hostels-key'} == set(keys)


def test_drain_starts_and_stops(api):
    api.call('PUT', 'drains/targets/guide-1')
    assert api.call('GET', 'drains')[1]['drains'] == {'targets': ['guide-1']}
    api.call('DELETE', 'drains/targets/guide-1')
    assert api.call('GET', 'drains')[1]['drains'] == {'targets': []}


def test_drain_of_unknown_target_or_kind_is_rejected(api):
    assert api.call('PUT', 'drains/targets/guide-9')[0] == 400
    assert api.call('PUT', 'drains/racks/guide-1')[0] == 400


def test_invalid_keys_are_rejected(api):
    for body in ([], {'team': 1}, {'team': 'hostels', 'digest': 'short'}):
        assert api.call('PUT', 'keys/new', body)[0] == 400


def test_history_has_operator_revision_entries_and_time(api):
    api.call('PUT', 'keys/new', KEY, 'operate', Toucanhall_Change='my-id')
    found = api.call('GET', 'history?change=my-id')[1]['changes']
    assert [(entry['operator'], entry['revision']) for entry in found] == [
        ('operate', 2),
    ]
    assert found[0]['what'] == ['keys new added']
    assert found[0]['at'].endswith('+00:00')


def test_change_with_lost_store_reply_is_found_by_its_id(api):
    api.store.modes = {'catalogue': 'lost'}
    for _ in range(2):
        status, body = api.call('PUT', 'keys/a', KEY, Toucanhall_Change='id-1')
        assert (status, body['accepted'], body['change']) == (200, 2, 'id-1')


def test_unavailable_store_means_not_changed(api):
    api.store.modes = {'': 'down'}
    status, body = api.call('PUT', 'keys/a', KEY)
    assert (status, body['outcome']) == (503, 'not changed')


def test_outcome_is_unknown_when_the_store_goes_away(api):
    api.store.modes = {'catalogue': 'gone'}
    status, body = api.call('PUT', 'keys/a', KEY, Toucanhall_Change='id-2')
    assert (status, body['outcome'], body['change']) == (503, 'unknown', 'id-2')
    api.store.modes = {}
    other = AdminApi(api.store)
    stored = decode(api.store.stored['catalogue'][1]).unwrap()
    other.admin._holder.offer(stored)
    assert other.call('GET', 'history?change=id-2')[1]['changes']


def test_rejected_write_is_no_conflict(api):
    api.store.modes = {'catalogue': 'full'}
    status, body = api.call('PUT', 'keys/a', KEY)
    assert (status, body['outcome']) == (503, 'not changed')


def test_invalid_if_match_is_rejected(api):
    assert api.call('DELETE', 'keys/hostels-key', If_Match='"x"')[0] == 400
    assert 'hostels-key' in api.call('GET', 'keys')[1]['keys']


def test_if_match_applies_to_a_single_entry(api):
    assert api.call('DELETE', 'keys/hostels-key', If_Match='"0"')[0] == 412
    assert api.call('DELETE', 'keys/hostels-key', If_Match='"1"')[0] == 200


def test_audit_entry_that_was_not_copied_is_copied_later(api):
    api.store.modes = {'audit/': 'down'}
    status, body = api.call('PUT', 'keys/a', KEY)
    assert (status, body['audited']) == (200, False)
    api.store.modes = {}
    assert api.call('DELETE', 'keys/a')[1]['audited'] is True
    copied = json.loads(api.store.stored['audit/0'][1])
    assert [entry[3] for entry in copied] == [1, 2, 3]


def test_audit_is_kept_beyond_the_entries_in_the_document(api):
    for number in range(2, 14):
        api.apply(number - 1, hold_seconds=number)
    changes = api.call('GET', 'history')[1]['changes']
    assert [entry['revision'] for entry in changes] == list(range(1, 14))
    assert len(json.loads(api.admin._holder.current.document)['changes']) == 8


def test_status_names_zones_that_have_not_confirmed(api):
    assert api.call('GET', 'status')[1]['zones'] == {
        'north-a': {'in_force': 1, 'confirmed': True},
        'south-a': {'in_force': 0, 'confirmed': False},
    }


@given(mutate(json.dumps(make_document(drains={'vms': ['v']}))))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_invalid_catalogue_changes_nothing(document):
    api = AdminApi()
    api.apply()
    before = api.call('GET', 'catalogue')[1], dict(api.store.stored)
    status, body = api.call('PUT', 'catalogue', document, If_Match='"1"')
    assert status in {200, 400}
    if status == 400:
        assert before == (api.call('GET', 'catalogue')[1], api.store.stored)
        assert body['detail']


def test_reused_audit_page_drops_its_earlier_entries():
    store = MemoryStore()
    audit = Audit(platform=store)
    first = AuditEntry('old', 'lead', 'noon', 1, ())
    assert audit.copy((first,))
    assert audit.copy((first._replace(id='new', revision=10001),))
    assert list(store.stored) == ['audit/0']
    assert [entry.id for entry in audit.read(10001)] == ['new']


def test_audit_page_written_by_another_vm_is_merged():
    store = MemoryStore()
    entry = AuditEntry('mine', 'lead', 'noon', 2, ())

    def write_concurrently(_name):
        store.before_write = str
        Audit(platform=store).copy((entry._replace(id='theirs', revision=1),))

    store.before_write = write_concurrently
    assert Audit(platform=store).copy((entry,))
    found = Audit(platform=store).read(2)
    assert [copied.id for copied in found] == ['theirs', 'mine']
