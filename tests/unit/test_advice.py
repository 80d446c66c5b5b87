"""Tests of the entry VMs advised to a caller."""

from tests.builders import make_catalogue
from toucanhall.steering import AdvisedVm, advise


def test_advice_prefers_own_zone_and_skips_drained_vms():
    vms = (
        AdvisedVm('north-a-1', 'north-a', 'one'),
        AdvisedVm('north-a-2', 'north-a', 'two'),
        AdvisedVm('south-a-1', 'south-a', 'three'),
    )
    catalogue = make_catalogue(drains={'vms': ['north-a-2']})
    advised = advise(catalogue, 'hostels', 'north-a', vms)
    assert [entry.url for entry in advised.vms] == ['one', 'three']


def make_vms():
    """Return three VMs of one zone and one of another."""
    return (
        *(AdvisedVm(f'north-a-{index}', 'north-a', '') for index in range(3)),
        AdvisedVm('south-a-0', 'south-a', 'south'),
    )


def test_holders_of_a_limit_come_first():
    for number in range(3):
        holders = frozenset((f'north-a-{number}',))
        advised = advise(
            make_catalogue(), 'hostels', 'north-a', make_vms(), holders,
        )  # fmt: skip
        assert advised.vms[0].vm == f'north-a-{number}'


def test_zone_without_a_share_of_the_limit_comes_last():
    tiny = make_catalogue(teams={'hostels': {'rate': 1, 'burst': 1}})
    zones = [
        advise(tiny, 'hostels', own, make_vms()).vms[0].zone
        for own in ('north-a', 'south-a')
    ]
    assert zones[0] == zones[1]
