"""Tests of the choice of targets and entry VMs."""

from tests.builders import make_catalogue, make_target
from toucanhall.steering import Hop, Terrain, rank
from toucanhall.steering.loads import Load

HOP = Hop('south-a-1', 'south-a', '127.2.0.2:8080')


def make_terrain(loads, **changes):
    return Terrain(make_catalogue(**changes), 'north-a', loads, (HOP,))


def test_least_loaded_own_target_comes_first():
    terrain = make_terrain({'guide-1': Load(in_flight=2)})
    ranked = rank(terrain, 'guide', 0, may_hop=True)
    names = [choice.name for choice in ranked]
    assert names == ['guide-2', 'guide-1', 'south-a-1']


def test_full_and_tripped_targets_are_passed_over():
    loads = {
        'guide-1': Load(in_flight=9),
        'guide-2': Load(failures=3, open_until=5),
    }
    ranked = rank(make_terrain(loads), 'guide', 1, may_hop=True)
    assert [choice.name for choice in ranked] == ['south-a-1']


def test_tripped_target_is_probed_after_its_time():
    loads = {'guide-2': Load(failures=3, open_until=5)}
    ranked = rank(make_terrain(loads), 'guide', 6, may_hop=False)
    assert {choice.name for choice in ranked} == {'guide-1', 'guide-2'}


def test_draining_target_gets_nothing_new():
    terrain = make_terrain({}, drains={'targets': ['guide-1']})
    ranked = rank(terrain, 'guide', 0, may_hop=False)
    assert [choice.name for choice in ranked] == ['guide-2']


def test_hopped_request_does_not_hop_again():
    terrain = make_terrain({}, targets={'guide-3': make_target('south-a', 3)})
    assert rank(terrain, 'guide', 0, may_hop=False) == ()
