"""Tests of transfers that identical requests share."""

import threading

from tests.builders import make_catalogue, make_request
from toucanhall import runtime
from toucanhall.forwarding.records import Answer
from toucanhall.forwarding.sharing import Sharing, make_key

ANSWER = Answer(200, 'OK', (('Toucanhall-Request-Id', 'leader'),), (b'whole',))


def make_route_key(kind='bulk', **changes):
    """Return the sharing key of a request on a route of a kind."""
    route = make_catalogue().routes[0]._replace(kind=kind)
    return make_key(route, make_request(**changes))


def start_join(sharing, key, answers):
    """Join a transfer in a thread; return the thread."""
    give_up_at = runtime.read_clock() + 10
    thread = threading.Thread(
        target=lambda: answers.append(sharing.join(key, 'own', give_up_at)),
    )
    thread.start()
    return thread


def test_only_identical_bulk_reads_share():
    key = make_route_key()
    assert key == make_route_key(headers=(('User-Agent', 'other'),))
    assert key != make_route_key(headers=(('If-None-Match', '"v1"'),))
    assert key != make_route_key(target='/tours/y')
    assert make_route_key(kind='read') is None
    assert make_route_key(method='POST') is None


def test_joined_caller_gets_whole_answer_with_its_own_id():
    sharing = Sharing()
    answers = []
    assert sharing.begin(make_route_key())
    assert not sharing.begin(make_route_key())
    thread = start_join(sharing, make_route_key(), answers)
    while not sharing.joined_count:
        thread.join(0.01)
    sharing.publish(make_route_key(), ANSWER)
    thread.join()
    assert answers[0].body == (b'whole',)
    assert answers[0].headers == (('Toucanhall-Request-Id', 'own'),)


def test_failed_transfer_is_not_shared():
    sharing = Sharing()
    sharing.begin(make_route_key())
    sharing.publish(make_route_key(), None)
    assert sharing.join(make_route_key(), 'own', 0) is None
