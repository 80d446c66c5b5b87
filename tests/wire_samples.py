"""Encodes messages between VMs, or decodes them, by the build on the path.

Runs by itself, `python wire_samples.py encode` or `decode` with the samples on
standard input, so that builds of the repository's history can run it.
"""

import asyncio
import json
import sys

import msgspec

from toucanhall.edge.table_exchange import TableExchange
from toucanhall.fleet import gossip, packing
from toucanhall.fleet.membership import Heartbeat
from toucanhall.fleet.model import (
    Address,
    ClientLimits,
    Configuration,
    Route,
    Service,
    Snapshot,
    Target,
    Team,
    VmContact,
    WeightedService,
)
from toucanhall.fleet.reports import (
    LimitReport,
    LimitReports,
    Member,
    ZoneReport,
)
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Usage, UsageReport
from toucanhall.platform.documents import decode_vm, encode_vm
from toucanhall.web.messages import Request

try:
    from toucanhall.fleet import suspects
    from toucanhall.platform import suspect_documents
except ImportError:  # builds before requests were held back
    suspects = suspect_documents = None

TO = Address('127.64.1.9', 7560)
FORMS = (1, 2, 3, 4) if hasattr(gossip, 'PeerForms') else ()
MAX_BYTES = 4_000_000
QUERIES = {
    'table query of two revisions': b'1,0,0,0,0',
    'table query of three revisions': b'1,0,0,0,0,0,0',
}
REVISIONS = Revisions(7, Revision(1, 12), Revision(1, 3))
CONTACT = VmContact('vm-2', 'east-a', '127.64.1.2')


class Transport:
    """Records the datagrams that are sent."""

    def __init__(self):
        """Start without any."""
        self.sent = []

    def sendto(self, sent, _address):
        """Record a datagram."""
        self.sent.append(sent)


def make_member(number, **fields):
    """Return the state of a VM."""
    return Member(
        vm=f'vm-{number}',
        zone='east-a',
        ip=f'127.64.1.{number}',
        is_ready=True,
        is_leaving=False,
        lag=0.001,
        capacity=600.0,
        load=12.5,
    )._replace(**fields)


def fill(record, **fields):
    """Set those of the fields that the record of this build has."""
    known = {name: fields[name] for name in fields if name in record._fields}
    return record._replace(**known)


def make_messages():
    """Return a message of each kind."""
    revisions = fill(REVISIONS, suspects=Revision(1, 9))
    heartbeat = Heartbeat(
        member=fill(make_member(1), reaches_targets=False),
        started_at=1,
        revisions=revisions,
        usage={'guides': Usage(3, 1.5)},
        is_requesting_vms=True,
        known_vms=(CONTACT,),
        store_age=0.25,
    )
    usage = {f'team-{number}': Usage(number, 0.5) for number in range(99)}
    report = ZoneReport(
        zone='east-a',
        delegate='vm-1',
        ip='127.64.1.1',
        stamp=(1, 2),
        revisions=revisions,
        members=tuple(make_member(number) for number in range(1, 5)),
        usage_reports=(UsageReport(usage, vms=4.0),),
    )
    limits = LimitReports('east-a', (LimitReport('t1', 1, 2.0, 0.25, 0.125),))
    return {
        'heartbeat': gossip.Message(heartbeat=heartbeat),
        'report': gossip.Message(report=report, is_relayed=True),
        'limits': gossip.Message(limits=limits),
    }


def make_target(name, revision):
    """Return a target of a version, if this build knows of versions."""
    target = Target(
        id=name,
        service='guide',
        address=Address('127.64.1.1', 9000),
        zone='east-a',
        slots=9,
        is_draining=False,
        cold_seconds=0.0,
        started_at=1,
        revision=revision,
        sequence=2,
    )
    return fill(target, version='v2')


def make_configuration():
    """Return a configuration with a route and a team."""
    route = Route(
        name='view',
        host='tours.example',
        prefix='/view/',
        is_idempotent=True,
        timeout=2.0,
        objective=0.5,
        priority=1,
        weighted_services=(WeightedService('guide', 1.0),),
        attempts=2,
        is_public=False,
        homes=frozenset(('east',)),
    )
    route = fill(route, has_large_bodies=True)
    return Configuration(
        version=7,
        hosts={'tours.example': (route,)},
        services={'guide': Service('guide', '/health', 3.0, 16.0)},
        teams={'guides': Team('guides', 1, 100.0, 9.0, frozenset())},
        keys={'guide-key': 'guides'},
        limits=ClientLimits(16384, 1048576, 3.0, 15.0),
    )


def make_suspect():
    """Return a request that was in flight at a crash."""
    crash = suspects.Crash('t1', 1, 'guide v2')
    return suspects.Suspect(crashes=(crash,), revision=9)


async def make_exchange():
    """Return the exchange of a VM that has tables."""
    tables = FleetTables(on_change=lambda _table: None)
    tables.replace_configuration(make_configuration())
    targets = {name: make_target(name, 11) for name in ('t1', 't2')}
    tables.replace_targets(Revision(1, 11), targets, 0.0)
    tables.replace_evacuations(Revision(1, 3), {'east-b': 3}, 0.0)
    if suspects:
        found = {'f1': make_suspect()}
        tables.replace_suspects(Revision(1, 9), found, 0.0)
    return TableExchange(
        fleet_tables=tables,
        journal=None,
        zone='east-a',
        regions={},
        port=0,
        settings=None,
        on_applied=lambda _source: None,
    )


def ask(query):
    """Return status and body of the answer to a VM that asks for tables."""
    exchange = asyncio.run(make_exchange())
    path = b'/fleet/tables?' + query
    answer = exchange.answer(Request(b'GET', path, (), b''))
    return answer.status, answer.body


def send(message, form=None):
    """Return the datagram of a message to a VM that reads a form, if known."""
    sender = gossip.Gossip(receive=print, on_error=print)
    if form:
        sender.forms.record(TO.host, form)
    transport = Transport()
    sender.connection_made(transport)
    sender.send(message, (TO,))
    return transport.sent[0]


def pack_document(document):
    """Return an entry of the store as bytes."""
    return json.dumps(document, sort_keys=True).encode()


def encode():
    """Return each kind of sample as hexadecimal digits."""
    messages = make_messages()
    samples = {kind: send(found) for kind, found in messages.items()}
    for form in FORMS:
        for kind, found in messages.items():
            samples[f'{kind} to form {form}'] = send(found, form)
    for kind, query in QUERIES.items():
        status, body = ask(query)
        if status == 200:
            samples[f'answer to {kind}'] = body
    samples['entry of a VM'] = pack_document(encode_vm(CONTACT))
    if suspects:
        document = suspect_documents.encode_suspect(make_suspect())
        samples['entry of a suspect'] = pack_document(document)
    return {kind: found.hex() for kind, found in samples.items()}


def describe(record):
    """Return a record as names and values, without its types."""
    if hasattr(record, '_asdict'):
        return {
            name: describe(found) for name, found in record._asdict().items()
        }
    if isinstance(record, dict):
        return {name: describe(found) for name, found in record.items()}
    if isinstance(record, (tuple, list)):
        return [describe(found) for found in record]
    if isinstance(record, frozenset):
        return sorted(record)
    return record


def receive(datagram):
    """Return the message in a datagram as this build reads it."""
    received, errors = [], []
    receiver = gossip.Gossip(receive=received.append, on_error=errors.append)
    receiver.connection_made(Transport())
    receiver.datagram_received(datagram, TO)
    if errors:
        raise ValueError(errors[0])
    return received[0]


def read_tables(body):
    """Return the tables in the answer of a VM as this build reads them."""
    unpacked = packing.unpack(body, MAX_BYTES)
    return msgspec.msgpack.decode(unpacked, type=Snapshot)


def read_entry(document):
    """Return the entry of a VM in the store as this build reads it."""
    return decode_vm(CONTACT.vm, json.loads(document))


def read_suspect(document):
    """Return a suspected request in the store, as far as this build can."""
    entry = json.loads(document)
    if suspects is None:
        return entry
    return suspect_documents.decode_suspect('f1', entry, 9)


def decode(samples):
    """Return each kind of sample as this build reads it, or why it can't."""
    decoders = {
        'entry of a VM': read_entry,
        'entry of a suspect': read_suspect,
    }
    found = {}
    for kind, digits in samples.items():
        decoder = read_tables if kind.startswith('answer') else receive
        try:
            record = decoders.get(kind, decoder)(bytes.fromhex(digits))
        except (ValueError, msgspec.MsgspecError) as error:
            found[kind] = {'error': str(error)}
        else:
            found[kind] = describe(record)
    return found


def main(verb):
    """Print samples, or those of standard input as decoded."""
    found = encode() if verb == 'encode' else decode(json.load(sys.stdin))
    print(json.dumps(found, indent=1, sort_keys=True))


if __name__ == '__main__':
    main(sys.argv[1])
