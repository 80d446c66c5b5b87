"""Tests of the advice which entry VMs a client should use."""

import json

from tests.builders import make_request, make_revision
from toucanhall.catalogue import Holder
from toucanhall.frontdoor import RequestRouter
from toucanhall.steering import AdvisedVm, BlockIndex

VMS = (
    AdvisedVm('north-a-1', 'north-a', 'http://127.2.0.1:8080'),
    AdvisedVm('south-a-1', 'south-a', 'http://127.2.0.2:8080'),
)


def ask(query):
    """Ask a VM of zone north-a for advice; return status and body."""
    holder = Holder()
    holder.offer(make_revision(blocks={'10.1.0.0/16': 'south-a'}))
    blocks = BlockIndex()
    blocks.size(holder.current.catalogue.blocks)
    router = RequestRouter(
        zone='north-a',
        holder=holder,
        parts=None,
        admin=None,
        find_zone=blocks.find,
        list_usable_vms=lambda: VMS,
        list_holders=lambda _team: frozenset(),
    )
    path = '/.toucanhall/entry-vms'
    answer = router.serve(make_request(path=path, query=query))
    return answer.status, json.loads(b''.join(answer.body))


def test_advice_lists_the_zone_of_the_clients_block_first():
    status, advice = ask('client=10.1.2.3')
    assert status == 200
    assert [vm[1] for vm in advice['vms']] == ['south-a', 'north-a']


def test_advice_lists_the_own_zone_first_for_unknown_clients():
    for query in ('', 'client=10.9.0.1', 'client='):
        assert ask(query)[1]['vms'][0][1] == 'north-a'


def test_invalid_client_address_is_rejected():
    status, problem = ask('client=10.1')
    assert (status, problem['reason']) == (400, 'bad-request')
