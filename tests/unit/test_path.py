"""Tests of the path of a request where no target is reached."""

import asyncio

import pytest

from standins.site.documents import HOST, KEY, make_configuration, make_rule
from tests.fleetdata import make_bounds, make_opening
from toucanhall.edge.dispatcher import RequestDispatcher
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.sender import Sender
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.observe.metrics import Metrics
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.hash_ring import Location
from toucanhall.platform.documents import decode_configuration
from toucanhall.web.lag import LoopLag
from toucanhall.web.messages import Request, get_header

RULES = (
    make_rule('/urgent/', priority=1),
    make_rule('/other/', priority=2),
)


def make_path(journal, late):
    fleet_tables = FleetTables(on_change=lambda _table: None)
    document = make_configuration(rules=RULES)
    fleet_tables.replace_configuration(1, decode_configuration(document))
    registry = TargetRegistry(
        location=Location('east-a', 'east'), regions={'east-a': 'east'}
    )
    clock = asyncio.get_running_loop().time
    lag = LoopLag()
    for _tick in range(30):
        lag.record(late)
    return RequestDispatcher(
        fleet_tables=fleet_tables,
        registry=registry,
        sender=Sender(
            registry=registry,
            pool=ConnectionPool(
                clock=clock, settings=make_opening(), max_idle_connections=10
            ),
            journal=journal,
        ),
        quotas=Quotas(bounds=make_bounds(), beat=0.8, now=0.0),
        retries=RetryBudget(bounds=make_bounds()),
        recorder=RequestRecorder(
            fleet_tables=fleet_tables,
            journal=journal,
            metrics=Metrics(),
        ),
        lag=lag,
    )


def serve(journal, path, late):
    async def run():
        headers = (
            (b'host', HOST.encode()),
            (b'authorization', f'Bearer {KEY}'.encode()),
        )
        request = Request(b'GET', path.encode(), headers, b'')
        return await make_path(journal, late).serve(request)

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('path', 'late', 'reason'),
    (
        ('/urgent/1', 0.0, b'targets-full'),
        ('/other/1', 0.0, b'targets-full'),
        ('/urgent/1', 0.4, b'targets-full'),
        ('/other/1', 0.4, b'vm-overloaded'),
        ('/urgent/1', 0.7, b'vm-overloaded'),
        ('/nowhere/1', 0.7, b'no-route'),
    ),
)
def test_vm_that_does_not_keep_up_refuses_less_urgent_requests_first(
    journal,
    path,
    late,
    reason,
):
    assert serve(journal, path, late).body == reason


def test_refusal_that_has_not_run_says_when_to_come_back(journal):
    answer = serve(journal, '/other/1', 0.7)
    assert answer.status == 503
    assert get_header(answer.headers, b'retry-after') == b'0.500'
