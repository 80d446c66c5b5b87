"""Tests of records with fields that only a later build knows."""

import asyncio
import os
from typing import NamedTuple, get_args, get_type_hints

import msgspec
import pytest

from tests.fleetdata import (
    make_environment,
    make_heartbeat,
    make_member,
    make_report,
)
from toucanhall.edge.peer_exchange import PeerExchange
from toucanhall.edge.target_state import make_target_state
from toucanhall.edge.unknown_parts import UnknownParts
from toucanhall.fleet import record_forms
from toucanhall.fleet.datagrams import pack_datagram, unpack_datagram
from toucanhall.fleet.gossip import Gossip, Message
from toucanhall.fleet.model import Snapshot, Target
from toucanhall.fleet.peer_forms import PeerForms
from toucanhall.fleet.record_reading import RecordReader
from toucanhall.fleet.table_messages import decode_revisions
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Quotas, Usage, UsageReport
from toucanhall.observe.journal import Journal

IP = '127.64.1.9'


class Later(NamedTuple):
    """A record that a later build adds."""

    found: int


def read(kind, encoded):
    """Return a record and the unknown fields, by the names of records."""
    unknown = []
    reader = RecordReader(kind, on_unknown=unknown.append)
    return reader.read(encoded), [dict(counts) for counts in unknown]


def append(record, name, *fields):
    """Return a record in which all records of a name have fields more."""
    if isinstance(record, tuple):
        parts = tuple(append(part, name, *fields) for part in record)
        return parts + fields if type(record).__name__ == name else parts
    if isinstance(record, dict):
        return {
            key: append(part, name, *fields) for key, part in record.items()
        }
    return record


MESSAGE = Message(
    heartbeat=make_heartbeat(usage={'guides': Usage(1, 0.5)}),
    report=make_report(
        members=(make_member('vm-1'), make_member('vm-2')),
        usage_reports=(UsageReport({'guides': Usage(2, 1.0)}),),
    ),
)


@pytest.mark.parametrize(
    ('name', 'count'),
    (
        ('Message', 1),
        ('Heartbeat', 1),
        ('Member', 3),
        ('Revisions', 2),
        ('Revision', 6),
        ('Usage', 2),
        ('UsageReport', 1),
        ('ZoneReport', 1),
    ),
)
@pytest.mark.parametrize('added', (1, 'text', None, Later(3), {'a': (1, 2)}))
def test_fields_of_a_later_build_are_passed_over(name, count, added):
    encoded = msgspec.msgpack.encode(append(MESSAGE, name, added))
    assert read(Message, encoded) == (MESSAGE, [{name: count}])


def test_unknown_fields_of_tables_are_passed_over():
    target = Target('t1', 's', (IP, 1), 'z', 9, False, 0.0, 1, 1)
    snapshot = Snapshot(
        None, (1, 1), (0, 0), {'t1': target}, {}, {}, ((0, 0), {}, {})
    )
    encoded = msgspec.msgpack.encode(snapshot)
    later = msgspec.msgpack.encode(append(snapshot, 'Target', 'more', 5))
    assert read(Snapshot, later) == (
        read(Snapshot, encoded)[0],
        [{'Target': 2}],
    )


@pytest.mark.parametrize(
    'content',
    (
        [1, 2, 3],
        [[1], None, False, None, 5],
        [{'a': 1}, None, False, None, 5],
        {},
        None,
        [None, None, 'no', None, 5],
    ),
)
def test_invalid_message_of_a_later_build_is_refused(content):
    with pytest.raises(msgspec.ValidationError):
        read(Message, msgspec.msgpack.encode(content))


def test_deeply_nested_message_is_refused():
    encoded = b'\x95' + b'\x91' * 100_000 + b'\xc0'
    errors = []
    gossip = Gossip(receive=pytest.fail, on_error=errors.append)
    for mark in (b'\x00', b'\x02'):
        gossip.datagram_received(mark + encoded, (IP, 1))
    assert len(errors) == 2


def test_kind_of_datagram_of_a_later_build_is_dropped_with_its_mark():
    errors = []
    gossip = Gossip(receive=pytest.fail, on_error=errors.append)
    gossip.datagram_received(b'\x09anything', (IP, 1))
    assert errors == ["datagram with the unknown mark '09'"]


def test_revisions_of_a_later_build_are_passed_over():
    assert decode_revisions(b'7,1,2,1,3,1,4,1,5') == decode_revisions(
        b'7,1,2,1,3,1,4'
    )


@pytest.mark.parametrize('form', (1, 2, 3))
def test_later_fields_reach_later_builds_behind_an_earlier_form(form):
    later = append(MESSAGE, 'Member', 5)
    datagram = unpack_datagram(pack_datagram(Message(*later), form))
    assert datagram.form == record_forms.CURRENT_FORM
    assert read(Message, datagram.encoded) == (MESSAGE, [{'Member': 3}])


def test_unknown_fields_are_counted_and_logged_once(tmp_path):
    log = tmp_path / 'log'
    journal = Journal(
        vm='vm-1', descriptor=os.open(log, os.O_WRONLY | os.O_CREAT)
    )
    parts = UnknownParts(journal=journal)
    for _message in range(3):
        parts.record({'Member': 2})
    parts.record({'Target': 1})
    assert parts.total == 7
    assert log.read_text().count('"event":406') == 2


def make_datagram(form, **fields):
    return pack_datagram(Message(heartbeat=make_heartbeat(**fields)), form)


def hear(gossip, form, **fields):
    gossip.datagram_received(make_datagram(form, ip=IP, **fields), (IP, 1))


def test_vm_gets_the_form_that_it_reads_while_it_is_heard():
    now = [0.0]
    gossip = Gossip(receive=id, on_error=pytest.fail, clock=lambda: now[0])
    assert gossip.forms.get(IP) == record_forms.FIRST_FORM
    hear(gossip, record_forms.FIRST_FORM)
    assert gossip.forms.get(IP) == record_forms.CURRENT_FORM
    now[0] = 5.0
    assert gossip.forms.get(IP) == record_forms.FIRST_FORM
    assert not gossip.forms.is_first(IP)


def test_all_vms_get_what_all_builds_read_while_an_earlier_one_is_in_sight():
    now = [0.0]
    forms = PeerForms(clock=lambda: now[0])
    forms.record('127.64.1.8', record_forms.THIRD_FORM)
    for seconds, form in ((59.0, record_forms.FIRST_FORM), (61.0, 4)):
        now[0] = seconds
        forms.record(IP, record_forms.CURRENT_FORM)
        assert forms.get(IP) == form


def test_vm_that_leaves_gets_what_all_builds_read():
    gossip = Gossip(receive=id, on_error=pytest.fail)
    hear(gossip, record_forms.CURRENT_FORM)
    hear(gossip, record_forms.CURRENT_FORM, is_leaving=True)
    assert gossip.forms.get(IP) == record_forms.FIRST_FORM


@pytest.mark.parametrize('form', (1, 2, 3))
def test_earlier_vm_is_known_by_its_message(form):
    gossip = Gossip(receive=id, on_error=pytest.fail)
    message = Message(heartbeat=make_heartbeat(ip=IP))
    cut = record_forms.cut_record(message, form)
    gossip.datagram_received(b'\x00' + msgspec.msgpack.encode(cut[:3]), (IP, 1))
    assert gossip.forms.get(IP) == form
    assert gossip.forms.count_earlier() == 1


def test_earlier_vm_is_out_of_sight_after_a_minute():
    now = [0.0]
    forms = PeerForms(clock=lambda: now[0])
    forms.record(IP, record_forms.FIRST_FORM)
    now[0] = 60.5
    assert forms.count_earlier() == 0


def test_each_record_that_earlier_builds_read_has_its_count():
    """Records grow at their end; those of the first forms stay as they were."""
    counts = record_forms._FIELD_COUNTS[record_forms.THIRD_FORM]
    kinds = {kind.__name__: kind for kind in list_records(Message, Snapshot)}
    assert kinds.keys() >= counts.keys()
    for name, count in counts.items():
        fields = kinds[name]._fields[count:]
        assert set(fields) <= kinds[name]._field_defaults.keys()


def list_records(*kinds):
    """Return all types of records in the fields of some."""
    found = []
    for kind in kinds:
        if hasattr(kind, '_fields'):
            fields = get_type_hints(kind).values()
            found.extend((kind, *list_records(*fields)))
        else:
            found.extend(list_records(*get_args(kind)))
    return found


def test_vm_without_suspects_does_not_watch_for_its_zone():
    async def list_candidates():
        environment = make_environment(ip='127.93.203.1')
        loop = asyncio.get_running_loop()
        journal = Journal(
            vm='vm-1', descriptor=os.open(os.devnull, os.O_WRONLY)
        )
        peers = PeerExchange(
            environment=environment,
            fleet_tables=FleetTables(on_change=lambda _table: None),
            quotas=Quotas(bounds=environment.bounds, beat=0.8, now=loop.time()),
            journal=journal,
            limits=make_target_state(environment, journal).limits,
            get_own_member=make_member,
            get_store_age=lambda: None,
            on_revisions=lambda _source, _revisions: None,
            on_heartbeat=lambda: None,
        )
        await peers.start()
        for number, form in enumerate((1, 2, 3, 4), 2):
            ip = f'127.93.203.{number}'
            message = Message(heartbeat=make_heartbeat(f'vm-{number}', ip=ip))
            peers._receive(message)
            peers._gossip.forms.record(ip, form)
        assert peers.count_earlier_vms() == 3
        return [found.vm for found in peers.list_watch_candidates()]

    assert asyncio.run(list_candidates()) == ['vm-1', 'vm-3', 'vm-4', 'vm-5']
