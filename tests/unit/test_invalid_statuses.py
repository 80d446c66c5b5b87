"""Tests of answers whose status is no final status of HTTP, on real sockets.

Failures that they guard against: a caller gets such a status; a request that
must run once is sent again after one; the wait lasts until the deadline though
no answer can follow; the connection carries another request.
"""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from tests.attemptdata import make_admitted, make_attempt_loop
from tests.builders import make_request
from tests.fleetdata import (
    make_environment,
    make_member,
    make_opening,
    make_store,
    make_target,
)
from tests.scripted import start_target
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.request_relay import RequestRelay
from toucanhall.edge.target_state import make_target_state
from toucanhall.fleet.model import Address, Listeners
from toucanhall.fleet.tables import FleetTables
from toucanhall.forwarding.dispatch import Dispatcher
from toucanhall.observe.metrics import Metrics
from toucanhall.platform import names
from toucanhall.platform.store import StoreError
from toucanhall.web.client import (
    ClosedByPeerError,
    IncompleteAnswerError,
    open_connection,
)

ADDRESS = Address('127.92.237.1', 9037)
OTHER_ADDRESS = Address('127.92.237.2', 9037)
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\nx-toucanhall-request-id: r1\r\n\r\n'
UPGRADE = b'connection: upgrade\r\nupgrade: other\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
# Far below the deadline of a request (3 s) and of a call of the store (1 s).
MAX_SECONDS = 0.6
# After which a target is suspended.
FAILURES_COUNT = 3
READ_AS_SUCCESS_BY_OLDER_VM = '+200'


def make_answer(status, lines=b'', request_id=b'r1'):
    """Return the bytes of an answer with a status line as it is."""
    return (
        b'HTTP/1.1 %s\r\nx-toucanhall-request-id: %s\r\n'
        b'x-toucanhall-response-stamp: 1\r\n%scontent-length: 4\r\n\r\nwell'
    ) % (status, request_id, lines)


GOOD = make_answer(b'200 OK').replace(
    b'x-toucanhall-response-stamp', names.STAMP_HEADER
)
OUT_OF_RANGE = (b'000', b'001', b'099', b'600', b'700', b'999')
MALFORMED = (
    b'',
    b'2',
    b'20',
    b'2000',
    b'+20',
    b'-20',
    b'+200',
    b'-200',
    b'2x0',
    b'OK',
    b'abc',
    b'2.0',
    b'0x8',
    b'\xb2\xb0\xb0',
)
ANSWERS = {
    **{
        status.decode('latin-1') or 'none': make_answer(status + b' Odd')
        for status in (*OUT_OF_RANGE, *MALFORMED)
    },
    '000 without a reason': make_answer(b'000'),
    '600 without a reason': make_answer(b'600'),
    '600 of another request': make_answer(b'600 Odd', request_id=b'old'),
    '600 after an interim answer': INTERIM + make_answer(b'600 Odd'),
    '600 until the close': b'HTTP/1.1 600 Odd\r\n\r\n',
    '600 with a long body': b'HTTP/1.1 600 Odd\r\ncontent-length: 99\r\n\r\n',
    '000 with a long body': b'HTTP/1.1 000 Odd\r\ncontent-length: 99\r\n\r\n',
    '600 in chunks': b'HTTP/1.1 600 Odd\r\ntransfer-encoding: chunked\r\n\r\n',
    '101': b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    '101 with an upgrade': (
        b'HTTP/1.1 101 Switching Protocols\r\n%s\r\n' % UPGRADE
    ),
    '101 with a length': make_answer(b'101 Switching Protocols', UPGRADE),
    'interim answers without end': INTERIM * 100,
}
# A good answer after it must not pass for that of the request.
ANSWERS.update(
    (f'{name} before a good one', make_answer(name.encode()) + GOOD)
    for name in ('000', '099', '101', '600')
)
each_answer = pytest.mark.parametrize('part', ANSWERS.values(), ids=ANSWERS)


class Server:
    """Answers each request with the same bytes and keeps the connection."""

    def __init__(self, part):
        self.part = part
        self.requests_count = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests_count += 1
                writer.write(self.part)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@asynccontextmanager
async def start(part, *addresses):
    """Run a server on each address; all count their requests together."""
    server = Server(part)
    listeners = [
        await asyncio.start_server(server.serve, *address)  # noqa: WPS476
        for address in addresses
    ]
    try:
        yield server
    finally:
        for closed in (*listeners, *server.writers):
            closed.close()


def make_pool():
    return ConnectionPool(
        clock=asyncio.get_running_loop().time,
        settings=make_opening(id_header=names.REQUEST_ID_HEADER),
        max_idle_connections=10,
    )


def make_running(is_idempotent):
    """Return a request that is to be answered within three seconds."""
    now = asyncio.get_running_loop().time()
    return make_admitted(is_idempotent)._replace(
        received_at=now, deadline=now + 3.0
    )


async def exchange(part):
    """Return the error of an exchange, its seconds and the connection."""
    settings = make_opening(id_header=names.REQUEST_ID_HEADER)
    async with start(part, ADDRESS):
        connection = await open_connection(
            ADDRESS, seconds=1.0, settings=settings
        )
        began = time.perf_counter()
        with pytest.raises(IncompleteAnswerError) as caught:
            async with asyncio.timeout(MAX_SECONDS):
                await connection.exchange(REQUEST, b'r1')
    assert settings.buffer_budget.total_bytes == 0
    return caught.value, time.perf_counter() - began, connection.is_usable


@each_answer
def test_exchange_fails_at_once_and_ends_its_connection(part):
    error, seconds, is_usable = asyncio.run(exchange(part))
    # A target that closes is suspected to have crashed; this one did not.
    assert not isinstance(error, ClosedByPeerError)
    assert seconds < MAX_SECONDS
    assert not is_usable


@pytest.mark.parametrize('status', OUT_OF_RANGE)
def test_error_names_the_status(status):
    error, _seconds, _is_usable = asyncio.run(exchange(make_answer(status)))
    assert f'status {int(status)} ' in str(error)


async def exchange_before(part):
    """Return the status of a good answer before the part, and the use."""
    async with start(GOOD + part, ADDRESS):
        connection = await open_connection(
            ADDRESS,
            seconds=1.0,
            settings=make_opening(id_header=names.REQUEST_ID_HEADER),
        )
        async with asyncio.timeout(MAX_SECONDS):
            reply = await connection.exchange(REQUEST, b'r1')
    return reply.status, connection.is_usable


@each_answer
def test_answer_before_it_is_delivered_and_ends_the_connection(part):
    assert asyncio.run(exchange_before(part)) == (200, False)


class Attempted:
    """A VM with two targets that both answer with the same bytes."""

    def __init__(self, journal):
        self.targets = make_target_state(make_environment(), journal)
        registry = self.targets.registry
        registry.replace_targets(
            {
                name: make_target(name, address=address)
                for name, address in (('t1', ADDRESS), ('t2', OTHER_ADDRESS))
            },
            0.0,
        )
        self.pool = make_pool()
        tables = FleetTables(on_change=lambda _table: None)
        self.attempt_loop = make_attempt_loop(
            self.targets,
            self.pool,
            journal,
            RequestRecorder(
                fleet_tables=tables, journal=journal, metrics=Metrics()
            ),
        )

    async def answer(self, is_idempotent):
        admitted = make_running(is_idempotent)
        attempts = self.attempt_loop.begin(admitted, may_relay=False)
        async with asyncio.timeout(MAX_SECONDS):
            return await self.attempt_loop.run(admitted, attempts)

    def count_suspended(self):
        now = asyncio.get_running_loop().time()
        loads = self.targets.registry.loads.values()
        return sum(load.is_suspended(now) for load in loads)


async def attempt(part, journal, is_idempotent, times=1):
    """Return the last answer, the requests sent, the targets suspended."""
    async with start(part, ADDRESS, OTHER_ADDRESS) as server:
        vm = Attempted(journal)
        for _time in range(times):
            answer = await vm.answer(is_idempotent)  # noqa: WPS476
    return answer, server.requests_count, vm.count_suspended()


@each_answer
def test_request_that_must_run_once_is_answered_with_an_unknown_outcome(
    part, journal
):
    answer, sent, _suspended = asyncio.run(attempt(part, journal, False))
    assert (answer.status, answer.body) == (502, b'answer-lost')
    assert sent == 1


@each_answer
def test_request_that_may_run_again_is_tried_at_another_target(part, journal):
    answer, sent, _suspended = asyncio.run(attempt(part, journal, True))
    assert (answer.status, answer.body) == (502, b'answer-lost')
    assert sent == 2


@each_answer
def test_target_is_suspended_after_some_of_them(part, journal):
    _answer, _sent, suspended = asyncio.run(
        attempt(part, journal, False, times=FAILURES_COUNT)
    )
    # All went to the first target of their object.
    assert suspended == 1


async def relay(part):
    """Return the outcome of a request at other VMs, and how many got it."""
    control = Address('0.0.0.0', ADDRESS.port)  # noqa: S104
    members = [
        make_member('near', ip=ADDRESS.host),
        make_member('far', ip=OTHER_ADDRESS.host),
    ]
    relayed = RequestRelay(
        environment=make_environment(
            listeners=Listeners(None, None, None, control)
        ),
        pool=make_pool(),
        list_members=lambda: members,
    )
    async with start(part, ADDRESS, OTHER_ADDRESS) as server:
        async with asyncio.timeout(MAX_SECONDS):
            outcome = await relayed.send(make_running(is_idempotent=True), 2)
    return outcome, server.requests_count


@each_answer
def test_answer_of_another_vm_leaves_the_outcome_unknown(part):
    outcome, sent = asyncio.run(relay(part))
    assert outcome.reply is None
    assert (outcome.refusal.status, outcome.refusal.reason) == (
        502,
        'answer-lost',
    )
    assert sent == 1


async def read_store(part):
    """Return the error of a read, its seconds and the requests sent."""
    store = make_store(ADDRESS)
    async with start(part, ADDRESS) as server:
        began = time.perf_counter()
        with pytest.raises(StoreError) as caught:
            await store.read('servers')
        seconds = time.perf_counter() - began
        with pytest.raises(StoreError):
            await store.delete('servers', 't1')
    return caught.value, seconds, server.requests_count


@each_answer
def test_call_of_the_store_fails_at_once(part):
    error, seconds, sent = asyncio.run(read_store(part))
    # An answer with a status is one that the store meant.
    assert 'store answered' not in str(error)
    assert seconds < MAX_SECONDS
    assert sent == 2


def send_by_older_vm(part):
    with start_target(part) as target:
        return Dispatcher().send(
            target.address, make_request(), MAX_SECONDS, fresh=False
        )


@pytest.mark.parametrize(
    'name', sorted(ANSWERS.keys() - {READ_AS_SUCCESS_BY_OLDER_VM})
)
def test_older_entry_vm_passes_on_no_such_status(name):
    error = send_by_older_vm(ANSWERS[name]).failure()
    assert error.sent


def test_older_entry_vm_reads_a_plus_sign_as_none():
    # http.client takes the number as Python's int() does.
    answer = send_by_older_vm(ANSWERS[READ_AS_SUCCESS_BY_OLDER_VM]).unwrap()
    assert answer.status == 200
