"""Tests of the dispatch of requests when no target can be reached."""

import asyncio

import pytest

from standins.site.documents import HOST, KEY, make_configuration, make_rule
from tests.attemptdata import make_attempt_loop
from tests.fleetdata import (
    make_bounds,
    make_environment,
    make_opening,
)
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.dispatcher import RequestDispatcher
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.target_state import make_target_state
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Quotas
from toucanhall.observe.metrics import Metrics
from toucanhall.platform.documents import decode_configuration
from toucanhall.web.lag import LoopLag
from toucanhall.web.messages import Request, get_header

RULES = (
    make_rule('/urgent/', priority=1),
    make_rule('/other/', priority=2),
)


def make_dispatcher(journal, lag_seconds):
    fleet_tables = FleetTables(on_change=lambda _table: None)
    document = make_configuration(rules=RULES)
    fleet_tables.replace_configuration(decode_configuration(document))
    targets = make_target_state(make_environment(), journal)
    clock = asyncio.get_running_loop().time
    lag = LoopLag()
    for _tick in range(30):
        lag.record(lag_seconds)
    recorder = RequestRecorder(
        fleet_tables=fleet_tables, journal=journal, metrics=Metrics()
    )
    pool = ConnectionPool(
        clock=clock, settings=make_opening(), max_idle_connections=10
    )
    return RequestDispatcher(
        fleet_tables=fleet_tables,
        attempt_loop=make_attempt_loop(targets, pool, journal, recorder),
        quotas=Quotas(bounds=make_bounds(), beat=0.8, now=0.0),
        recorder=recorder,
        lag=lag,
    )


def serve(journal, path, lag_seconds, request_id=b'r1'):
    async def run():
        headers = (
            (b'host', HOST.encode()),
            (b'x-toucanhall-request-id', request_id),
            (b'authorization', f'Bearer {KEY}'.encode()),
        )
        request = Request(b'GET', path.encode(), headers, b'')
        return await make_dispatcher(journal, lag_seconds).serve(request)

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('path', 'lag_seconds', 'reason'),
    (
        ('/urgent/1', 0.0, b'targets-full'),
        ('/other/1', 0.0, b'targets-full'),
        ('/urgent/1', 0.4, b'targets-full'),
        ('/other/1', 0.4, b'vm-overloaded'),
        ('/urgent/1', 0.7, b'vm-overloaded'),
        ('/nowhere/1', 0.7, b'no-route'),
    ),
)
def test_lagging_vm_refuses_less_urgent_requests_first(
    journal,
    path,
    lag_seconds,
    reason,
):
    assert serve(journal, path, lag_seconds).body == reason


def test_request_without_an_id_is_refused_at_once(journal):
    answer = serve(journal, '/urgent/1', 0.0, request_id=b'')
    assert (answer.status, answer.body) == (400, b'no-request-id')


def test_refusal_of_a_request_that_has_not_run_has_a_retry_after(journal):
    answer = serve(journal, '/other/1', 0.7)
    assert answer.status == 503
    assert get_header(answer.headers, b'retry-after') == b'0.500'
