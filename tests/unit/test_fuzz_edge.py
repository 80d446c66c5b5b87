"""Invalid documents and messages are rejected and do no further harm."""

import json

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from standins.site.documents import make_configuration, make_target_entry
from tests.fleetdata import (
    make_bounds,
    make_environment,
    make_heartbeat,
    make_limit_report,
    make_limits,
    make_member,
    make_report,
    make_target,
    make_team,
)
from tests.limited_fleet import SilentJournal
from tests.mutations import mutate
from tests.simulated_fleet import SimulatedVm
from toucanhall.edge.admission import admit
from toucanhall.edge.target_state import make_target_state
from toucanhall.fleet.gossip import Gossip, Message
from toucanhall.fleet.model import VmContact
from toucanhall.fleet.reports import LimitReports
from toucanhall.limits.quota import Quotas, Usage, UsageReport
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
    decode_target,
    decode_vm,
)
from toucanhall.platform.headers import read_caller_headers
from toucanhall.web.messages import Request

TEAM = {
    'name': 'guides',
    'api_keys': ['key-1'],
    'rate_per_s': 20,
    'burst': 20,
    'home_regions': ['east'],
}
CONFIGURATION = json.dumps(make_configuration(teams=[TEAM]))
TARGET = json.dumps(make_target_entry('127.0.0.1:9000', 'east-a'))
ENTRY = json.dumps({'zone': 'east-a', 'ip': '127.0.0.1'})
USAGE = {'guides': Usage(4, 2.0)}
HEARTBEAT = Message(
    heartbeat=make_heartbeat('vm-2', usage=USAGE)._replace(
        is_requesting_vms=True,
        known_vms=(VmContact('vm-3', 'east-a', '127.0.0.3'),),
    ),
)
REPORT = Message(
    report=make_report(
        members=(make_member('vm-7', zone='west-a'),),
        usage_reports=(
            UsageReport(USAGE, vms=2.0),
            UsageReport(None, is_stale=True),
        ),
    ),
)
LIMITS = Message(limits=LimitReports('west-a', (make_limit_report(),)))
MESSAGES = [
    json.dumps(msgspec.to_builtins(message))
    for message in (HEARTBEAT, REPORT, LIMITS)
]


def ask(configuration):
    """Admit a request under a configuration and divide the limits of teams."""
    headers = (
        (b'host', b'guide.example'),
        (b'authorization', b'Bearer key-1'),
    )
    request = Request(b'GET', b'/view/1', headers, b'')
    quotas = Quotas(bounds=make_bounds(), beat=0.8, now=0.0)
    marks = read_caller_headers(request)
    for now in (0.0, 1.0):
        quotas.refill(configuration.teams.values(), UsageReport({}), (), now)
        admit(request, marks, configuration, quotas, now)
        quotas.collect_usage(now + 0.5)


@given(mutate(CONFIGURATION))
def test_configuration_is_refused_or_works(document):
    try:
        configuration = decode_configuration(document)
    except InvalidDocumentError:
        return
    ask(configuration)


@given(mutate(TARGET))
@example({**json.loads(TARGET), 'born': float('inf')})
@example({**json.loads(TARGET), 'address': 'a\0b:9000'})
@example({**json.loads(TARGET), 'address': '127.0.0.1:99999'})
def test_entry_of_a_target_is_refused_or_works(document):
    try:
        target = decode_target('t1', document, 1)
    except InvalidDocumentError:
        return
    assert 0 < target.address.port < 65536
    regions = {'east-a': 'east'}
    registry = TargetRegistry(
        location=Location('east-a', 'east'),
        regions=regions,
        limits=make_limits(regions),
    )
    registry.replace_targets({'t1': target}, 0.0)
    need = TargetQuery(target.service, 'a', frozenset(), frozenset())
    assert len(registry.list_candidates(need, 10.0, 2)) <= 1


@given(mutate(ENTRY))
@example({'zone': 'east-a', 'ip': 'a\0b'})
def test_entry_of_a_vm_is_refused_or_names_an_address(document):
    try:
        found = decode_vm('vm-1', document)
    except InvalidDocumentError:
        return
    assert is_reachable(found.ip)


@given(st.sampled_from(MESSAGES).flatmap(mutate))
def test_message_is_dropped_or_taken_whole(document):
    heard, dropped, sent = [], [], []
    gossip = Gossip(receive=heard.append, on_error=dropped.append)
    gossip.datagram_received(b'\x00' + encode(document), ('127.64.1.9', 1))
    assert len(heard) + len(dropped) == 1
    environment = make_environment()
    targets = make_target_state(environment, SilentJournal())
    targets.registry.replace_targets({'t1': make_target('t1')}, 0.0)
    for message in heard:
        if message.limits is not None:
            targets.limits.receive(message.limits)
            targets.registry.limits.may_send('t1')
            gossip.send(Message(limits=targets.limits.report_local()), ())
    vm = SimulatedVm(
        member=make_member('vm-1', zone='east-a'),
        zones=('east-a', 'west-a'),
        now=0.0,
        send=lambda _message, ips: sent.extend(ips),
    )
    for message in heard:
        vm.receive(message, 1.0)
    for now in (1.0, 1.2, 2.0):
        vm.beat(make_team(), now)
    assert all(map(is_reachable, sent))


def encode(document):
    """Encode a message; an integer out of range gives the largest instead."""
    try:
        return msgspec.msgpack.encode(document)
    except OverflowError:
        return msgspec.msgpack.encode(2**64 - 1)


def is_reachable(ip):
    """Whether an address is dotted IPv4, which needs no look-up."""
    parts = ip.split('.')
    return len(parts) == 4 and all(part.isdigit() for part in parts)
