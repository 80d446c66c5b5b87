"""Tests of tables with an entry of another writer that is odd.

Failure that they guard against: one entry ends the program, or keeps it from
reading all others.
"""

import asyncio

import msgspec
import pytest

from tests.fleetdata import make_store
from toucanhall.fleet.model import Address, Target
from toucanhall.fleet.revisions import Revision
from toucanhall.fleet.tables import FleetTables
from toucanhall.platform.documents import InvalidDocumentError, decode_target
from toucanhall.platform.json_parts import split_list, split_object
from toucanhall.platform.nesting import cut_nested_values
from toucanhall.platform.table_loader import TableLoader

ADDRESS = Address('127.64.209.1', 8382)
SOUND = (
    b'{"service":"guide","address":"10.0.0.1:80","zone":"east-a","slots":9,'
    b'"state":"ready","cold_left":"0ms","sequence":%s,"born":1}'
)
# What another writer may have left as `spec`.
ODD_SPECS = {
    'nested lists': b'[' * 100_000 + b']' * 100_000,
    'nested objects': b'{"service":' * 5_000 + b'1' + b'}' * 5_000,
    'nested field': SOUND % (b'[' * 5_000 + b'"]}"' + b']' * 5_000),
    'large exponent': SOUND % b'1e999',
    'large number': SOUND % (b'9' * 5_000),
    'number beyond 64 bits': SOUND % (b'9' * 25),
    'not UTF-8': b'"\xff\xfe"',
    'text': b'"text"',
    'null': b'null',
    'port': SOUND.replace(b':80', b':65536') % b'1',
    'long port': SOUND.replace(b':80', b':' + b'9' * 5_000) % b'1',
    'slots': SOUND.replace(b'"slots":9', b'"slots":1' + b'0' * 19) % b'1',
    'born': SOUND.replace(b'"born":1', b'"born":1e30') % b'1',
    'fraction': SOUND % b'1.5',
    'state': SOUND.replace(b'ready', b'odd') % b'1',
}


def make_item(name, spec):
    return (
        b'{"metadata":{"name":"%s","revision":2,"finalizers":[]},"spec":%s}'
        % (name.encode(), spec)
    )


class OddStore:
    """Answers reads with two pages, and watches with one event for each."""

    def __init__(self, spec):
        self.items = (
            make_item('a', SOUND % b'1'),
            make_item('odd', spec),
            make_item('z', SOUND % b'1'),
        )

    async def serve(self, reader, writer):
        while line := await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            body = self.answer(line)
            writer.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
                % (len(body), body)
            )

    def answer(self, line):
        if b'watch=' in line:
            events = b','.join(
                b'{"object":%s,"deleted":false}' % item for item in self.items
            )
            return b'{"as_of":9,"events":[%s]}' % events
        page = self.items[2:] if b'after=odd' in line else self.items[:2]
        more = b'false' if b'after=odd' in line else b'true'
        return b'{"as_of":9,"items":[%s],"more":%s}' % (b','.join(page), more)


def call_store(spec, call):
    async def start():
        server = await asyncio.start_server(OddStore(spec).serve, *ADDRESS)
        try:
            return await call(make_store(ADDRESS))
        finally:
            server.close()

    return asyncio.run(start())


def read(store):
    return store.read('servers')


def watch(store):
    return store.watch('servers', Revision(0, 1), 0.5)


@pytest.mark.parametrize('call', (read, watch))
@pytest.mark.parametrize('spec', ODD_SPECS.values(), ids=ODD_SPECS)
def test_odd_entry_is_passed_over_and_the_others_are_read(call, spec, journal):
    table = call_store(spec, call)
    assert [change.name for change in table.changes] == ['a', 'odd', 'z']
    fleet_tables = FleetTables(on_change=lambda _table: None)
    loader = TableLoader(
        fleet_tables=fleet_tables, journal=journal, clock=lambda: 1.0
    )
    loader.take('servers', table, is_whole=True)
    assert set(fleet_tables.targets) == {'a', 'z'}
    msgspec.msgpack.encode(fleet_tables.targets)


@pytest.mark.parametrize(
    'field',
    ('slots', 'sequence', 'born'),
)
@pytest.mark.parametrize(
    'value', (-1, 1 << 64, 10**400, 1.5, True, '9', [], float('inf'))
)
def test_odd_number_makes_an_entry_invalid(field, value):
    spec = msgspec.json.decode(SOUND % b'1')
    assert isinstance(decode_target('t1', spec, 1), Target)
    with pytest.raises(InvalidDocumentError, match='t1'):
        decode_target('t1', {**spec, field: value}, 1)


@pytest.mark.parametrize(
    ('document', 'expected'),
    (
        (b'{"a":[1,2]}', b'{"a":[1,2]}'),
        (b'{"a":[1,[2]],"b":3}', b'{"a":[1,null],"b":3}'),
        (b'[["]",[{}],[]],1]', b'[["]",null,null],1]'),
        (rb'[["\"[",{"a":"}"}]]', rb'[["\"[",null]]'),
        (b'[[[', b'[[null'),
        (b'[[[]', b'[[null'),
        (b']]]', b']]]'),
        (b'"', b'"'),
        (b'', b''),
    ),
)
def test_values_nested_too_deeply_become_null(document, expected):
    assert cut_nested_values(document, max_depth=2) == expected


@pytest.mark.parametrize(
    ('document', 'expected'),
    (
        (b'[1,2]', [b'1', b'2']),
        (b'[1,[2,[3]],"b"]', [b'1', b'[2,[3]]', b'"b"']),
        (b' [ ["]",[{}],[]] , 1 ] ', [b'["]",[{}],[]]', b'1']),
        (rb'["\"[,",{"a":"},"}]', [rb'"\"[,"', b'{"a":"},"}']),
        (b'[]', []),
        (b'[\xff,"\x01\n"]', [b'\xff', b'"\x01\n"']),
        (b'[%s]' % ODD_SPECS['nested lists'], [ODD_SPECS['nested lists']]),
    ),
)
def test_list_is_split_into_its_items(document, expected):
    assert list(split_list(document)) == expected


@pytest.mark.parametrize(
    ('document', 'expected'),
    (
        (b'{"a":[1,2],"b":3}', {'a': b'[1,2]', 'b': b'3'}),
        (b' { "a" : {"a":1} , "b,":"}"} ', {'a': b'{"a":1}', 'b,': b'"}"'}),
        (r'{"\u0061":1,"\"":2}'.encode(), {'a': b'1', '"': b'2'}),
        (b'{"a":1,"a":2}', {'a': b'2'}),
        (rb'{"\q":1,"a":\q,"b" 1}', {'a': rb'\q'}),
        (b'{"\xff":1,"a":\xff}', {'a': b'\xff'}),
        (b'{}', {}),
    ),
)
def test_object_is_split_into_its_members(document, expected):
    assert split_object(document) == expected


@pytest.mark.parametrize(
    'document',
    (
        b'',
        b'"',
        b'1',
        b'"[]"',
        b'[[[',
        b'[[[]',
        b']]]',
        b'{}[',
        b'[],',
        b'{"a":',
    ),
)
def test_what_is_no_list_or_object_is_not_split(document):
    with pytest.raises(ValueError, match='value that begins|brackets'):
        list(split_list(document))
    with pytest.raises(ValueError, match='value that begins|brackets'):
        split_object(document)
