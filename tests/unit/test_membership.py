"""Tests of the view of a VM on its peers."""

from tests.builders import make_heartbeat
from toucanhall.membership import Health, View, hear, merge_list
from toucanhall.membership.view import assess
from toucanhall.platform import Listed

EMPTY = View({}, {})


def test_silent_member_is_suspected_and_comes_back():
    view = hear(EMPTY, 'b', 's', make_heartbeat(), 0)
    assert assess(view.members['b'], 3) is Health.ALIVE
    assert assess(view.members['b'], 4) is Health.SUSPECTED
    view = hear(view, 'b', 's', make_heartbeat(sequence=2), 5)
    assert assess(view.members['b'], 5) is Health.ALIVE


def test_overtaken_heartbeat_changes_nothing():
    view = hear(EMPTY, 'b', 's', make_heartbeat(sequence=2, leaving=True), 0)
    late = hear(view, 'b', 's', make_heartbeat(sequence=1), 1)
    assert assess(late.members['b'], 1) is Health.LEAVING


def test_member_outlives_its_entry_in_the_list():
    view = hear(EMPTY, 'b', 's', make_heartbeat(), 0)
    view = merge_list(view, (), 'a', 1)
    assert assess(view.members['b'], 1) is Health.ALIVE


def test_listed_vm_is_known_before_it_is_heard():
    listed = (Listed('b', 'north-a', '127.2.0.2', False),)
    view = merge_list(EMPTY, listed, 'a', 0)
    assert assess(view.members['b'], 0) is Health.UNHEARD
