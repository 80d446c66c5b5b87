"""Tests of VMs that reach no target.

Failures that they guard against: the end of some targets passes for a cut of
the links, or the reverse; small VMs are overrun; a request goes round.
"""

import asyncio
from collections import Counter

import pytest

from tests.attemptdata import make_admitted
from tests.fleetdata import (
    make_environment,
    make_limits,
    make_member,
    make_target,
)
from tests.virtual_time import run_in_virtual_time
from toucanhall.edge import refusals
from toucanhall.edge.request_relay import RequestRelay
from toucanhall.edge.target_links import TargetLinks
from toucanhall.fleet.selection import (
    pick_admitting,
    pick_helpers,
    pick_serving,
)
from toucanhall.placement.cold_targets import find_owner_groups
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.registry import TargetRegistry
from toucanhall.platform import names
from toucanhall.platform.relay_headers import (
    add_request_id,
    make_relayed_request,
    read_relay_attempts,
)
from toucanhall.web.client import (
    IncompleteAnswerError,
    ReceivedAnswer,
    UnreachableError,
)
from toucanhall.web.messages import Answer, Request

REGIONS = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
TARGETS = {
    name: make_target(name, zone=zone)
    for name, zone in (
        ('t1', 'east-a'),
        ('t2', 'east-a'),
        ('u1', 'east-b'),
        ('w1', 'west-a'),
    )
}


class FakePool:
    """The connections of a VM, of which none is opened."""

    def __init__(self):
        self.failed_addresses = set()
        self.abandoned_count = 0

    def close_idle(self):
        """Close nothing."""

    def abandon(self):
        self.abandoned_count += 1


class FakeProbe:
    """Targets that accept or not, after some time."""

    def __init__(self):
        self.accepting = set(TARGETS)
        self.asked = Counter()

    async def is_any_accepted(self, targets):
        await asyncio.sleep(0.1)
        asked = {target.id for target in targets}
        self.asked.update(asked)
        return bool(asked & self.accepting)


class FakeJournal:
    """The numbers of the events that were written."""

    def __init__(self):
        self.numbers = []

    def write(self, event, **_fields):
        self.numbers.append(event.number)


def make_links(targets=TARGETS):
    registry = TargetRegistry(
        location=Location('east-a', 'east'),
        regions=REGIONS,
        limits=make_limits(REGIONS),
    )
    registry.replace_targets(targets, 0.0)
    links = TargetLinks(
        registry=registry,
        pool=FakePool(),
        probe=FakeProbe(),
        on_change=lambda: None,
        journal=FakeJournal(),
    )
    links.start()
    return links


def run(scenario):
    run_in_virtual_time(scenario())


def test_vm_is_cut_off_when_no_target_accepts():
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        links._probe.accepting = set()
        assert await links.check()
        assert links.is_cut_off
        assert len(links._probe.asked) == 4
        links._probe.accepting = {'w1'}
        await asyncio.sleep(1.0)
        assert not links.is_cut_off
        assert links._journal.numbers == [632, 633]

    run(scenario)


@pytest.mark.parametrize('accepting', ('t1', 'u1', 'w1'))
def test_end_of_most_targets_is_no_cut(accepting):
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        links._probe.accepting = {accepting}
        assert not await links.check()

    run(scenario)


def test_end_of_the_only_target_is_no_cut():
    async def scenario():
        links = make_links({'t1': TARGETS['t1']})
        await asyncio.sleep(1.0)
        links._probe.accepting = set()
        assert not await links.check()

    run(scenario)


def test_answers_spare_the_question():
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        links._probe.accepting = set()
        links.record_sent()
        links.record_end(is_answered=True)
        assert not await links.check()
        assert not links._probe.asked

    run(scenario)


def test_addresses_that_refuse_raise_the_question_beside_answers():
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        links._probe.accepting = set()
        links._pool.failed_addresses = {1, 2, 3}
        links.record_sent()
        links.record_end(is_answered=True)
        assert await links.check()

    run(scenario)


def test_requests_in_a_cut_that_is_silent_are_given_up():
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        links._probe.accepting = set()
        links.record_sent()
        await asyncio.sleep(2.0)
        assert links.is_cut_off
        assert links._pool.abandoned_count

    run(scenario)


def test_slow_answers_are_no_cut():
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        links.record_sent()
        await asyncio.sleep(5.0)
        assert not links.is_cut_off
        assert not links._pool.abandoned_count

    run(scenario)


def test_suspended_targets_are_used_at_once_after_a_cut():
    async def scenario():
        links = make_links()
        await asyncio.sleep(1.0)
        load = links._registry.loads['t1']
        for _ in range(4):
            load.record_failure(1.0, is_lost=True)
        links._probe.accepting = set()
        await links.check()
        links._probe.accepting = {'t1'}
        await asyncio.sleep(0.5)
        assert not load.is_suspended(1.0)
        assert not load.is_on_trial()

    run(scenario)


def test_vms_without_targets_serve_for_nobody():
    members = [
        make_member('a', reaches_targets=False),
        make_member('b', is_leaving=True),
        make_member('c', is_ready=False),
        make_member('d', lag=1.0),
        make_member('e'),
    ]
    assert [found.vm for found in pick_helpers(members, REGIONS)] == ['e']
    serving = [found.vm for found in pick_serving(members)]
    assert 'a' not in serving
    assert 'e' in serving


def test_vms_without_targets_go_on_to_admit_requests_of_teams():
    cut_off = [
        make_member(f'cut-{number}', reaches_targets=False, capacity=900.0)
        for number in range(3)
    ]
    others = [make_member(f'whole-{number}') for number in range(5)]
    admitting = {found.vm for found in pick_admitting([*cut_off, *others])}
    # The four that bear most and, while some are cut off, the next ones.
    assert {found.vm for found in cut_off} < admitting
    assert admitting - {found.vm for found in cut_off} == {
        found.vm for found in pick_serving([*cut_off, *others])
    }
    assert pick_admitting(others) == pick_serving(others)


def test_all_vms_are_named_if_none_reaches_targets():
    members = [make_member(name, reaches_targets=False) for name in 'ab']
    assert len(pick_serving(members)) == 2
    assert not pick_helpers(members, REGIONS)


@pytest.mark.parametrize(
    ('load', 'expected'), ((10.0, {'near'}), (95.0, {'near', 'far'}))
)
def test_near_vms_serve_if_they_can_bear_it(load, expected):
    members = [
        make_member('near', zone='east-b', capacity=100.0, load=load),
        make_member('far', zone='west-a', capacity=100.0, load=10.0),
    ]
    found = pick_helpers(members, {'east-a', 'east-b'})
    assert {member.vm for member in found} == expected


def test_vms_of_the_region_own_cold_targets_of_a_zone_that_is_cut_off():
    cut_off = VmGroup((), 2, 2, is_cut_off=True)
    other = VmGroup(('c',), 1, 1)
    groups = {'east-a': cut_off, 'east-b': other, 'west-a': other}
    assert list(find_owner_groups('east-a', groups, REGIONS)) == [other]


def test_relayed_request_keeps_what_the_caller_sent():
    headers = (
        (b'host', b'tours.example'),
        (b'authorization', b'Bearer key'),
        (names.REQUEST_ID_HEADER, b'1'),
        (names.DEADLINE_HEADER, b'3000'),
        (names.RELAY_HEADER, b'9'),
        (b'connection', b'close'),
    )
    request = Request(b'POST', b'/book/1', headers, b'walk')
    relayed = make_relayed_request(request, attempts=1, remaining_seconds=1.5)
    assert relayed.body == b'walk'
    assert relayed.headers == (
        *headers[:3],
        (names.DEADLINE_HEADER, b'1500'),
        (names.RELAY_HEADER, b'1'),
    )
    assert read_relay_attempts(relayed) == 1
    assert read_relay_attempts(request._replace(headers=headers[:3])) is None


def test_answers_between_vms_bear_the_id_of_their_request_once():
    answer = add_request_id(Answer(503), b'1')
    assert answer.headers == ((names.REQUEST_ID_HEADER, b'1'),)
    assert add_request_id(answer, b'1') == answer


class RelayPool(FakePool):
    """Connections to other VMs; each answers with what is given."""

    def __init__(self, replies):
        super().__init__()
        self._replies = replies
        self.asked = []

    async def acquire(self, address, _request_id, **_options):
        self.asked.append(address.host)
        return address.host

    async def exchange(self, host, _sent, _request_id, **_options):
        reply = self._replies[host]
        if isinstance(reply, Exception):
            raise reply
        return reply

    def release(self, _address, _connection):
        """Keep nothing."""


def make_reply(status, body, *headers):
    return ReceivedAnswer(status, headers, body, is_keep_alive=True)


SERVED = make_reply(200, b'tours', (names.STAMP_HEADER, b'1'))


def relay(first, is_idempotent=True):
    """Let the VM `first`, then another, serve a request; return the outcome."""

    async def run_relay():
        pool = RelayPool({'127.0.0.1': first, '127.0.0.2': SERVED})
        members = [
            make_member('near', zone='east-a', ip='127.0.0.1'),
            make_member('far', zone='west-a', ip='127.0.0.2'),
        ]
        found = RequestRelay(
            environment=make_environment(regions=REGIONS),
            pool=pool,
            list_members=lambda: members,
        )
        outcome = await found.send(make_admitted(is_idempotent), 2)
        return outcome, pool.asked

    return run_in_virtual_time(run_relay())


@pytest.mark.parametrize(
    'first',
    (
        make_reply(503, b'targets-unreachable'),
        make_reply(503, b'vm-stopping'),
        make_reply(503, b'vm-overloaded'),
        make_reply(503, b'no-configuration'),
        make_reply(404, b'no-route'),
        make_reply(401, b'unknown-key'),
        make_reply(404, b'no such path'),
        UnreachableError('refused'),
    ),
)
def test_next_vm_is_asked_if_the_first_one_could_not_take_a_request(first):
    outcome, asked = relay(first)
    assert outcome.reply == SERVED
    assert asked == ['127.0.0.1', '127.0.0.2']


@pytest.mark.parametrize(
    'first',
    (
        SERVED,
        make_reply(503, b'targets-full'),
        make_reply(404, b'no-route', (names.STAMP_HEADER, b'1')),
        make_reply(500, b'vm-stopping', (names.STAMP_HEADER, b'1')),
    ),
)
def test_answer_of_the_first_vm_is_final(first):
    outcome, asked = relay(first)
    assert outcome.reply == first
    assert asked == ['127.0.0.1']


@pytest.mark.parametrize('is_idempotent', (True, False))
def test_request_that_another_vm_may_have_sent_goes_to_no_third(is_idempotent):
    outcome, asked = relay(IncompleteAnswerError('closed'), is_idempotent)
    assert outcome.reply is None
    assert outcome.refusal is refusals.ANSWER_LOST
    assert asked == ['127.0.0.1']
