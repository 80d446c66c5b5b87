"""Builders of test data."""

import msgspec

from toucanhall.catalogue import Catalogue, Revision
from toucanhall.catalogue.reading import revise
from toucanhall.forwarding.records import Request
from toucanhall.membership import Heartbeat
from toucanhall.steering.policy import decide
from toucanhall.steering.records import Arrive, Resize, State


def make_document(**changes):
    """Return a small valid catalogue document with some fields changed."""
    document = {
        'zones': {
            'north-a': {'region': 'north', 'fraction': 0.5},
            'south-a': {'region': 'south', 'fraction': 0.5},
        },
        'targets': {
            'guide-1': make_target('north-a', 1),
            'guide-2': make_target('north-a', 2),
            'guide-3': make_target('south-a', 3),
        },
        'routes': [
            {
                'path': '/tours',
                'owner': 'lumina',
                'service': 'guide',
                'kind': 'read',
                'public': True,
            },
            {
                'path': '/bookings',
                'owner': 'lumina',
                'service': 'guide',
                'kind': 'once',
            },
        ],
        'teams': {'hostels': {'rate': 10, 'burst': 20}},
        'keys': {'hostels-key': {'team': 'hostels', 'digest': 'a' * 64}},
    }
    return document | changes


def make_target(zone, number, slots=9):
    """Return a target entry of a catalogue document."""
    return {
        'zone': zone,
        'service': 'guide',
        'address': f'127.1.0.{number}:9000',
        'slots': slots,
        'connections': 800,
    }


def make_revision(number=1, change='first', **changes) -> Revision:
    """Return a revision of the small catalogue."""
    document = msgspec.json.encode(make_document(**changes))
    return revise(number, change, document).unwrap()


def make_catalogue(**changes) -> Catalogue:
    """Return the small catalogue with some fields changed."""
    return make_revision(**changes).catalogue


def make_request(**changes) -> Request:
    """Return a GET request with some fields changed."""
    request = Request('GET', '/tours/x', '/tours/x', '', (), b'')
    return request._replace(**changes)


def make_heartbeat(**changes) -> Heartbeat:
    """Return a heartbeat with some fields changed."""
    heartbeat = Heartbeat('north-a', '127.2.0.1', 1, False, 1, {})
    return heartbeat._replace(**changes)


def make_settings_text(**changes) -> str:
    """Return the text of a valid settings file with some fields changed."""
    document = {
        'vm': 'north-a-1',
        'zone': 'north-a',
        'address': '127.2.0.1',
        'caller_port': 8080,
        'peer_port': 8081,
        'platform': 'http://127.2.0.9:7400',
        'secret_variable': 'SECRET',
        'operators': [],
    }
    return msgspec.json.encode(document | changes).decode()


def make_state(*places, peers=(), shift_per_second=1) -> State:
    """Return the steering state of a service with warm places."""
    size = Resize(places, peers, shift_per_second)
    return decide(State({}, {}), size, 0)[0]


def make_arrival(ticket='t', **changes) -> Arrive:
    """Return the arrival of a caller's request with some fields changed."""
    return Arrive(ticket, 'team', 1, 10)._replace(**changes)
