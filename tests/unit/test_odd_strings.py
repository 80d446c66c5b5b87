"""Tests of answers of the store in which a string is no text.

Failure that they guard against: a decoder gives up on a whole table for one
string in it, and VMs keep the targets that they knew for good.
"""

import asyncio
import json
import os

import msgspec
import pytest

from tests.fleetdata import make_store
from toucanhall.fleet.model import Address, Snapshot
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
)
from toucanhall.platform.store import Table
from toucanhall.platform.store_answers import (
    InvalidAnswerError,
    decode_object,
    decode_page,
)
from toucanhall.platform.store_objects import UndecodableSpec
from toucanhall.platform.suspect_documents import decode_suspect
from toucanhall.platform.table_loader import TableLoader
from toucanhall.platform.vm_registry import VmRegistry

ADDRESS = Address('127.94.1.1', 8382)
TARGETS_COUNT = 3100
PAGE_ENTRIES = 500
SOUND = (
    b'{"service":"guide","address":"10.0.0.1:80","zone":"east-a","slots":9,'
    b'"state":"ready","cold_left":"0ms","sequence":1,"born":1}'
)
# What no decoder takes for a value.
ODD_VALUES = {
    'first half of a character': r'"\ud800"'.encode(),
    'second half of a character': r'"a\udc00"'.encode(),
    'halves in the wrong order': r'"\udc00\ud800"'.encode(),
    'half of an escape': r'"\u12"'.encode(),
    'unknown escape': rb'"\q"',
    'control character': b'"\x01"',
    'line break': b'"\n"',
    'not UTF-8': b'"\xff\xfe"',
    'half a character in UTF-8': b'"\xed\xa0\x80"',
    'not a number': b'NaN',
    'infinite': b'-Infinity',
    'cut word': b'tru',
    'leading zero': b'01',
    'no colon': b'{"a" 1}',
    'brackets in a string': r'"]}\"[{\ud800"'.encode(),
    'nested': b'[' * 5_000 + r'"\ud800"'.encode() + b']' * 5_000,
}
CONFIGURATION = json.dumps({
    'version': '1',
    'services': [{'name': 'guide'}],
    'virtual_hosts': [{'host': 'a', 'path_rules': [
        {'name': 'r', 'path_prefix': '/', 'route_type': 'x', 'service': 'guide'}
    ]}],
})  # fmt: skip


def make_item(name, spec, extra=b''):
    return b'{"metadata":{%s"name":%s,"revision":2},"spec":%s}' % (
        extra,
        name,
        spec,
    )


def make_list(*items, more=b'false'):
    return b'{"as_of":9,"items":[%s],"more":%s}' % (b', '.join(items), more)


def make_events(*items):
    return b'{"as_of":9,"events":[%s]}' % b','.join(
        b'{"object":%s,"deleted":false}' % item for item in items
    )


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 65536).splitlines()]


def load(journal, kind, page):
    fleet_tables = FleetTables(on_change=lambda _table: None)
    loader = TableLoader(
        fleet_tables=fleet_tables, journal=journal, clock=lambda: 1.0
    )
    loader.take(
        kind, Table(Revision(0, 9), page.changes, page.unnamed), is_whole=True
    )
    return fleet_tables


@pytest.mark.parametrize('make_body', (make_list, make_events))
def test_odd_entries_are_named_and_the_others_are_in_force(make_body, pipe):
    reader, writer = pipe
    page = decode_page(
        make_body(
            make_item(b'"a"', SOUND),
            *(
                make_item(
                    b'"%s"' % label.encode(), SOUND.replace(b'"east-a"', value)
                )
                for label, value in ODD_VALUES.items()
            ),
            make_item(b'"z"', SOUND),
        )
    )
    assert [change.name for change in page.changes] == ['a', *ODD_VALUES, 'z']
    journal = Journal(vm='vm-1', descriptor=writer)
    assert set(load(journal, names.TARGET_KIND, page).targets) == {'a', 'z'}
    lines = read_lines(reader)
    assert {line['event'] for line in lines} == {events.ENTRY_IGNORED.number}
    assert [line['why'].partition(' cannot')[0] for line in lines] == [
        f'target {label}' for label in ODD_VALUES
    ]


@pytest.mark.parametrize('make_body', (make_list, make_events))
def test_one_odd_entry_of_each_sort_stops_no_other(make_body):
    found = {
        label: [
            change.name
            for change in decode_page(
                make_body(
                    make_item(b'"a"', SOUND),
                    make_item(b'"odd"', value),
                    make_item(b'"z"', SOUND),
                )
            ).changes
        ]
        for label, value in ODD_VALUES.items()
    }
    assert found == dict.fromkeys(ODD_VALUES, ['a', 'odd', 'z'])


def test_entries_are_read_beside_odd_values_that_nobody_reads():
    pages = [
        decode_page(
            make_list(
                make_item(b'"a"', SOUND, b'"finalizers":[%s],' % value),
                b'{"status":%s,%s' % (value, make_item(b'"z"', SOUND)[1:]),
            )
        )
        for value in ODD_VALUES.values()
    ]
    assert {change.name for page in pages for change in page.changes} == {
        'a',
        'z',
    }
    assert {
        msgspec.json.encode(change.spec)
        for page in pages
        for change in page.changes
    } == {SOUND}
    assert not any(page.unnamed for page in pages)


@pytest.mark.parametrize('make_body', (make_list, make_events))
@pytest.mark.parametrize(
    'kind',
    (
        names.CONFIGURATION_KIND,
        names.TARGET_KIND,
        names.EVACUATION_KIND,
        names.SUSPECT_KIND,
    ),
)
def test_entries_without_a_readable_name_are_logged(make_body, kind, pipe):
    reader, writer = pipe
    odd_names = (*ODD_VALUES.values(), b'7', b'null')
    page = decode_page(
        make_body(
            make_item(b'"a"', b'{"crashes":[]}'),
            *(make_item(name, SOUND) for name in odd_names),
            b'{"metadata":{"name":"no revision"},"spec":{}}',
            b'{"spec":{}}',
            b'7',
        )
    )
    assert [change.name for change in page.changes] == ['a']
    assert len(page.unnamed) == len(odd_names) + 3
    load(Journal(vm='vm-1', descriptor=writer), kind, page)
    lines = read_lines(reader)
    assert {line['event'] for line in lines} == {events.ENTRY_IGNORED.number}
    whys = [line['why'] for line in lines]
    assert all(why in whys for why in page.unnamed)


def test_deletions_of_odd_entries_are_deletions():
    body = make_events(
        *(make_item(b'"odd"', value) for value in ODD_VALUES.values())
    )
    page = decode_page(body.replace(b'"deleted":false', b'"deleted":true'))
    assert [change.spec for change in page.changes] == [None] * len(ODD_VALUES)


def test_single_odd_object_keeps_its_revision():
    for value in ODD_VALUES.values():
        change = decode_object(make_item(b'"odd"', value))
        assert (change.name, change.revision) == ('odd', 2)
        assert isinstance(change.spec, UndecodableSpec)
        with pytest.raises(InvalidDocumentError, match='suspect odd .*rror'):
            decode_suspect('odd', change.spec, 2)


@pytest.mark.parametrize(
    'body',
    (
        b'',
        b'[]',
        b'{}',
        b'{"as_of":9}',
        r'{"as_of":9,"items":7,"odd":"\ud800"}'.encode(),
        r'{"as_of":"\ud800","items":[]}'.encode(),
        r'{"as_of":9,"items":[{"spec":"\ud800"}'.encode(),
        b'{"as_of":9,"items":[]}}',
        r'"\ud800"'.encode(),
    ),
)
def test_answer_that_is_no_table_is_refused(body):
    with pytest.raises(InvalidAnswerError):
        decode_page(body)


def serve_pages(pages, call):
    async def serve(reader, writer):
        while line := await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            after = line.split()[1].partition(b'after=')[2].decode()
            body = pages[after.partition('&')[0]]
            writer.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
                % (len(body), body)
            )

    async def start():
        server = await asyncio.start_server(serve, *ADDRESS)
        try:
            return await call(make_store(ADDRESS))
        finally:
            server.close()

    return asyncio.run(start())


def test_pages_go_on_after_a_name_that_cannot_be_read():
    table = serve_pages(
        {
            '': make_list(
                make_item(b'"a"', SOUND),
                make_item(r'"\ud800"'.encode(), SOUND),
                more=b'true',
            ),
            'a': make_list(
                make_item(r'"\ud800"'.encode(), SOUND), make_item(b'"z"', SOUND)
            ),
        },
        lambda store: store.read('servers'),
    )
    assert [change.name for change in table.changes] == ['a', 'z']
    assert table.unnamed


def test_vms_are_listed_beside_odd_entries(pipe):
    reader, writer = pipe
    journal = Journal(vm='vm-1', descriptor=writer)
    sound = b'{"zone":"east-a","ip":"10.0.0.1"}'
    body = make_list(
        *(
            make_item(b'"odd"', b'{"zone":%s,"ip":"10.0.0.1"}' % value)
            for value in ODD_VALUES.values()
        ),
        *(make_item(value, sound) for value in ODD_VALUES.values()),
        make_item(b'"vm-2"', sound),
    )
    listed = serve_pages(
        {'': body, 'allow_stale=1': body},
        lambda store: VmRegistry(store=store, journal=journal).list_vms(
            may_be_stale=False
        ),
    )
    assert [contact.vm for contact in listed] == ['vm-2']
    assert {line['event'] for line in read_lines(reader)} == {
        events.ENTRY_IGNORED.number
    }


def test_large_table_is_read_beside_a_lasting_odd_entry():
    items = [
        make_item(b'"t%d"' % number, SOUND) for number in range(TARGETS_COUNT)
    ]
    items[TARGETS_COUNT // 2] = make_item(
        b'"odd"', r'{"zone":"\ud800"}'.encode()
    )
    changes = [
        change
        for first in range(0, TARGETS_COUNT, PAGE_ENTRIES)
        for change in decode_page(
            make_list(*items[first : first + PAGE_ENTRIES])
        ).changes
    ]
    assert len(changes) == TARGETS_COUNT
    assert [
        change.name
        for change in changes
        if isinstance(change.spec, UndecodableSpec)
    ] == ['odd']


# What no decoder of messages between VMs takes, by its place in the document.
UNFIT_VALUES = (
    (('limits', 'max_body_bytes'), 10**30),
    (('limits', 'max_header_bytes'), 1e30),
    (('services', 0, 'name'), 7),
    (('services', 0, 'health_path'), 7),
    (('virtual_hosts', 0, 'path_rules', 0, 'priority'), 10**30),
    (('virtual_hosts', 0, 'path_rules', 0, 'attempts'), 10**30),
    (('version',), 'f' * 20),
)


def test_configuration_that_vms_cannot_pass_on_is_refused():
    assert decode_configuration(json.loads(CONFIGURATION))
    for path, value in UNFIT_VALUES:
        document = {**json.loads(CONFIGURATION), 'limits': {}}
        *outer, last = path
        found = document
        for key in outer:
            found = found[key]
        found[last] = value
        with pytest.raises(InvalidDocumentError):
            decode_configuration(document)


@pytest.mark.parametrize(
    'spec',
    (
        {'crashes': [], 'trials': 10**30},
        {'crashes': [{'target': 't1', 'started_at': -(10**30)}]},
    ),
)
def test_suspect_that_vms_cannot_pass_on_is_refused(spec, journal):
    with pytest.raises(InvalidDocumentError):
        decode_suspect('s1', spec, 1)
    body = make_list(make_item(b'"s1"', json.dumps(spec).encode()))
    fleet_tables = load(journal, names.SUSPECT_KIND, decode_page(body))
    snapshot = fleet_tables.make_snapshot(Revisions(), 1.0)
    packed = msgspec.msgpack.encode(snapshot)
    assert msgspec.msgpack.decode(packed, type=Snapshot) == snapshot
