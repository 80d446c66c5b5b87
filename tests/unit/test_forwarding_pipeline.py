"""Tests of the request path with a scripted target and a store in memory."""

import json

import pytest
from returns.result import Failure, Success

from tests.builders import make_document, make_request
from tests.scripted import make_answer, start_target
from toucanhall.catalogue import Holder
from toucanhall.catalogue.reading import revise
from toucanhall.counters import Counters
from toucanhall.forwarding import Parts, hops, serve
from toucanhall.forwarding.credentials import digest_key
from toucanhall.forwarding.dispatch import Dispatcher
from toucanhall.forwarding.sharing import Sharing
from toucanhall.idempotency import Keeper
from toucanhall.objectstore import Conflict, Stored
from toucanhall.steering import OwnedSlots, Steerer, size_links, size_services
from toucanhall.transport.exchange import Identity

KEY = 'open-sesame'


class MemoryStore:
    """An object store in memory, with versions."""

    def __init__(self):
        """Start empty."""
        self.objects = {}

    def read(self, name):
        """Return an object."""
        return Success(self.objects.get(name, Stored(name, 0, b'')))

    def write(self, name, content, expected):
        """Write an object if its version is the expected one."""
        if self.read(name).unwrap().version != expected:
            return Failure(Conflict(name, expected))
        self.objects[name] = Stored(name, expected + 1, content)
        return Success(expected + 1)


class UnlimitedLedger:
    """A ledger that admits every request."""

    def admit(self, _team):
        """Admit a request of any team without waiting."""


def make_holder(target, routes=None):
    """Return a holder of a catalogue with one target and one key."""
    document = make_document()
    entry = document['targets']['guide-1'] | {'address': target.address}
    document['targets'] = {'guide-1': entry}
    digest = digest_key(KEY)
    document['keys'] = {'k': {'team': 'hostels', 'digest': digest}}
    document['routes'] = routes or document['routes']
    holder = Holder()
    holder.offer(revise(1, 'c', json.dumps(document).encode()).unwrap())
    return holder


def make_steerer(catalogue):
    """Return a policy that owns every slot of the zone."""
    steerer = Steerer()
    owned = OwnedSlots('north-a', frozenset(range(catalogue.slots_per_zone)))
    steerer.resize(
        size_services(catalogue, owned, (), 0),
        size_links(catalogue, owned),
    )
    return steerer


def make_parts(holder):
    """Return the state of the request path of one VM."""
    return Parts(
        identity=Identity('north-a-1', 's', b'x'),
        zone='north-a',
        holder=holder,
        ledger=UnlimitedLedger(),
        steerer=make_steerer(holder.current.catalogue),
        sharing=Sharing(),
        keeper=Keeper(platform=MemoryStore()),
        dispatcher=Dispatcher(),
        counters=Counters(host='', port=0),
    )


def book(parts, idempotency_key='', path='/bookings/vip'):
    """Book at a path, with an idempotency key if one is named."""
    headers = [('X-Api-Key', KEY)]
    if idempotency_key:
        headers.append(('Idempotency-Key', idempotency_key))
    request = make_request(
        method='POST', target=path, path=path, headers=tuple(headers),
    )  # fmt: skip
    return serve(parts, request)


def test_retry_after_a_change_of_the_routes_does_not_run_again():
    with start_target(make_answer(), make_answer(body=b'second')) as target:
        holder = make_holder(target)
        parts = make_parts(holder)
        first = book(parts, 'owned')
        route = make_document()['routes'][1] | {'path': '/bookings/vip'}
        holder.current = make_holder(target, [route]).current
        again = book(parts, 'owned')
        assert tuple(again.body) == tuple(first.body)
        assert len(target.requests) == 1


def test_request_without_idempotency_key_is_sent_once_each_time():
    cut = make_answer('Content-Length: 9')
    with start_target(cut, make_answer(), closes=True) as target:
        parts = make_parts(make_holder(target))
        headers = dict(book(parts).headers)
        assert headers['Toucanhall-Ran'] == 'maybe'
        assert 'Retry-After' not in headers
        assert len(target.requests) == 1
        assert book(parts).status == 200


def test_internal_header_of_a_target_is_dropped():
    with start_target(make_answer('Toucanhall-Ran: no')) as target:
        answer = book(make_parts(make_holder(target)), 'owned')
        assert 'Toucanhall-Ran' not in dict(answer.headers)


def test_sent_safe_request_is_refused_as_maybe_run():
    """The target truncates its first answer, then refuses connections."""
    with start_target(make_answer('Content-Length: 9'), closes=True) as target:
        parts = make_parts(make_holder(target))
        refused = serve(parts, make_request())
        assert dict(refused.headers)['Toucanhall-Ran'] == 'maybe'


@pytest.mark.parametrize(
    'path', [f'/bookings/{KEY}', '/bookings/open%2Dsesame']
)
def test_key_in_the_path_is_refused(path):
    with start_target() as target:
        answer = book(make_parts(make_holder(target)), path=path)
        assert answer.status == 400
        assert not target.requests


def test_crash_is_refused_and_logged_without_the_key(monkeypatch, caplog):
    with start_target() as target:
        parts = make_parts(make_holder(target))

        def crash(*_arguments, **_options):
            raise KeyError(KEY)

        monkeypatch.setattr(parts.dispatcher, 'send', crash)
        answer = book(parts)
        assert answer.status == 500
        assert dict(answer.headers)['Toucanhall-Ran'] == 'maybe'
        assert KEY not in caplog.text


class RecordingDispatcher(Dispatcher):
    """Records the time limit of each attempt."""

    def __init__(self):
        """Start without any attempt."""
        super().__init__()
        self.limits = []

    def send(self, address, request, seconds, *, fresh):
        """Record the limit and send."""
        self.limits.append(seconds)
        return super().send(address, request, seconds, fresh=fresh)


def test_hop_reserves_no_time_for_another_attempt():
    with start_target(make_answer(), make_answer()) as target:
        parts = make_parts(make_holder(target))._replace(
            dispatcher=RecordingDispatcher()
        )
        path = '/tours/x'
        hop = hops.Hop('', '', 'id-1', 'GET', path, 7.0)
        sender = Identity('south-a-1', 's', b'x')
        request = make_request(
            target=path,
            path=path,
            headers=((hops.HOP_HEADER, hops.make_token(sender, hop)),),
        )
        assert serve(parts, request).status == 200
        assert serve(parts, request).status == 200
        assert parts.dispatcher.limits == pytest.approx([7.0, 7.0], abs=0.5)
        assert target.connections == 2
