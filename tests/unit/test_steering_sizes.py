"""Tests of the targets and peers computed for services."""

from tests.builders import make_catalogue
from toucanhall.steering import EntryVm, OwnedSlots, size_services

HOPS = (
    EntryVm('north-a-2', 'north-a', '127.2.0.2:8080'),
    EntryVm('south-a-1', 'south-a', '127.2.0.3:8080'),
)
OWNED = OwnedSlots('north-a', frozenset(range(12)))


def list_peers(**changes):
    """Return the VMs to which requests of a service may be sent."""
    size = size_services(make_catalogue(**changes), OWNED, HOPS, 0)['guide']
    return [peer.vm for peer in size.peers]


def test_zone_whose_targets_all_drain_gets_no_hops():
    assert list_peers() == ['north-a-2', 'south-a-1']
    drains = {'targets': ['guide-1', 'guide-2']}
    assert list_peers(drains=drains) == ['south-a-1']
    assert list_peers(drains={'zones': ['north-a']}) == ['south-a-1']
