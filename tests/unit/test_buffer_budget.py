"""Tests of who waits, is refused or closed when memory for messages is full."""

import asyncio
import contextlib

import pytest

from tests.fleetdata import make_opening
from tests.unit.test_server import make_handler
from toucanhall.fleet.model import Address
from toucanhall.web import client, server
from toucanhall.web.buffer_budget import BufferBudget, BufferKind, RoomUse
from toucanhall.web.client import NoRoomError, open_connection
from toucanhall.web.messages import Answer
from toucanhall.web.server import Connection

ADDRESS = Address('127.93.61.1', 9361)
BODY = b'b' * 1_000_000
BUDGET_BYTES = 4_000_000
SMALL = b'GET /small HTTP/1.1\r\n\r\n'
PATHS = (b'/0', b'/1', b'/2', b'/3', b'/4', b'/5')
# Of a part of a test that must not take long.
MAX_SECONDS = 5.0


class Stage:
    """A server whose requests run until they are let go."""

    def __init__(self, *, answer=None, max_bytes=BUDGET_BYTES):
        self.refusals = []
        self.closures = []
        self.budget = BufferBudget(
            max_bytes=max_bytes,
            on_refusal=self.refusals.append,
            on_closure=self.closures.append,
        )
        self.answer = answer or Answer(200)
        self.started = []
        self.gates = {}
        self.is_open = False
        self.writers = []

    async def serve(self, request):
        self.started.append(request.path)
        if not self.is_open and request.path != b'/small':
            await self.gates.setdefault(request.path, asyncio.Event()).wait()
        return self.answer

    def let_go(self, *paths):
        for path in paths:
            self.gates.setdefault(path, asyncio.Event()).set()

    async def connect(self):
        reader, writer = await asyncio.open_connection(*ADDRESS, limit=1 << 16)
        self.writers.append(writer)
        return reader, writer

    async def post(self, path, body=BODY):
        """Send a request with a large body; return its connection."""
        reader, writer = await self.connect()
        writer.write(make_post(path, body))
        await asyncio.sleep(0.05)
        return reader, writer

    async def post_all(self, *paths):
        """Send requests with large bodies, each on a connection of its own."""
        return [await self.post(path) for path in paths]  # noqa: WPS476

    def run(self, act, is_cancellable=True, refuses_small=True):
        handler = make_handler(self.answer, self.budget)._replace(
            serve=self.serve,
            is_cancellable=lambda _request: is_cancellable,
            refuses_small=refuses_small,
        )

        async def start():
            listener = await asyncio.get_running_loop().create_server(
                lambda: Connection(handler=handler), *ADDRESS
            )
            try:
                async with asyncio.timeout(MAX_SECONDS):
                    found = await act()
            finally:
                for writer in self.writers:
                    writer.close()
                listener.close()
            await asyncio.sleep(0.05)
            return found

        return asyncio.run(start())


def make_post(path, body=BODY):
    head = b'POST %s HTTP/1.1\r\ncontent-length: %d\r\n\r\n'
    return head % (path, len(body)) + body


async def read_answer(reader):
    """Return the status, head and the length of the body of an answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.split(b'content-length: ')[1].split()[0])
    await reader.readexactly(length)
    return head[9:12], head, length


async def read_answers(*readers):
    """Return the status and the length of the body of an answer from each."""
    found = [await read_answer(reader) for reader in readers]  # noqa: WPS476
    return [answer[0] for answer in found], [answer[2] for answer in found]


def test_requests_that_run_stay_while_others_wait_for_room():
    """Guards against resets of connections whose requests run (review/4)."""
    stage = Stage()
    paths = PATHS[:4]

    async def act():
        ends = await stage.post_all(*paths)
        started = list(stage.started)
        stage.let_go(*paths)
        statuses, _lengths = await read_answers(*[end[0] for end in ends])
        return started, statuses

    started, statuses = stage.run(act)
    assert len(started) < len(paths)
    assert statuses == [b'200'] * len(paths)
    assert stage.budget.peak_bytes <= BUDGET_BYTES
    assert stage.budget.total_bytes == 0


def test_waiting_requests_get_room_in_their_order():
    """Guards against starvation of an early request by later ones."""
    stage = Stage()

    async def act():
        await stage.post_all(*PATHS[:4])
        for number in range(4):
            stage.let_go(b'/%d' % number)
            await asyncio.sleep(0.1)  # noqa: WPS476

    stage.run(act)
    assert stage.started == [b'/0', b'/1', b'/2', b'/3']


def test_small_requests_are_served_while_large_ones_wait():
    stage = Stage()

    async def act():
        await stage.post_all(*PATHS[:5])
        assert stage.budget.waiting_count
        reader, writer = await stage.connect()
        writer.write(SMALL)
        return await read_answer(reader)

    assert stage.run(act)[0] == b'200'


def test_request_without_room_in_time_is_refused_and_has_not_run():
    """Guards against requests held until their deadline."""
    stage = Stage()

    async def act():
        await stage.post_all(*PATHS[:3])
        reader, writer = await stage.post(b'/late')
        first = await read_answer(reader)
        writer.write(SMALL)
        return first, await read_answer(reader)

    refused, next_answer = stage.run(act)
    assert refused[0] == b'503'
    assert b'retry-after: ' in refused[1]
    assert next_answer[0] == b'200'
    assert b'/late' not in stage.started
    assert {found.use for found in stage.refusals} == {RoomUse.REQUEST}


def test_request_is_refused_at_once_if_a_whole_budget_waits():
    stage = Stage()

    async def act():
        await stage.post_all(*PATHS[:6])
        began = asyncio.get_running_loop().time()
        reader, _writer = await stage.post(b'/late')
        status = (await read_answer(reader))[0]
        return status, asyncio.get_running_loop().time() - began

    status, seconds = stage.run(act)
    assert status == b'503'
    assert seconds < 0.5


def test_refused_caller_that_expects_a_confirmation_is_closed():
    """Guards against a next request that is read as the refused body."""
    stage = Stage()

    async def act():
        reader, writer = await stage.connect()
        writer.write(
            b'POST /large HTTP/1.1\r\nexpect: 100-continue\r\n'
            b'content-length: 900000000\r\n\r\n'
        )
        return await reader.read()

    limits = server.ServerLimits(16384, 1 << 30, 5.0, 30.0)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr('tests.unit.test_server.LIMITS', limits)
        answer = stage.run(act)
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'100 Continue' not in answer


def test_chunked_body_waits_for_room_too():
    stage = Stage()
    chunk = b'%x\r\n%s\r\n' % (len(BODY), BODY)

    async def act():
        await stage.post_all(*PATHS[:3])
        reader, writer = await stage.connect()
        writer.write(
            b'POST /chunks HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        writer.write(chunk + b'0\r\n\r\n')
        await asyncio.sleep(0.1)
        is_waiting = b'/chunks' not in stage.started
        stage.let_go(b'/0', b'/1', b'/2', b'/chunks')
        return is_waiting, (await read_answer(reader))[0]

    assert stage.run(act) == (True, b'200')


def test_answers_that_wait_for_earlier_ones_are_in_the_account():
    """Guards against pipelined answers in no account (review/7)."""
    stage = Stage(answer=Answer(200, (), BODY))

    async def act():
        reader, writer = await stage.connect()
        stage.let_go(b'/warm')
        writer.write(b'GET /warm HTTP/1.1\r\n\r\n')
        await read_answer(reader)
        writer.write(b'GET /slow HTTP/1.1\r\n\r\n' + SMALL * 15)
        await asyncio.sleep(0.2)
        held = stage.budget.bytes_by_kind[BufferKind.COMPLETE]
        stage.let_go(b'/slow')
        _statuses, lengths = await read_answers(*[reader] * 16)
        return held, lengths

    held, lengths = stage.run(act)
    assert held >= len(BODY)
    assert lengths == [len(BODY)] * 16
    assert stage.budget.peak_bytes <= BUDGET_BYTES


def test_requests_behind_a_slow_one_are_refused_in_time():
    """Guards against requests that are held back until their deadline."""
    stage = Stage(answer=Answer(200, (), BODY), max_bytes=2_100_000)

    async def act():
        reader, writer = await stage.connect()
        stage.let_go(b'/warm')
        writer.write(b'GET /warm HTTP/1.1\r\n\r\n')
        await read_answer(reader)
        writer.write(b'GET /slow HTTP/1.1\r\n\r\n' + SMALL * 3)
        await asyncio.sleep(2.0)
        stage.let_go(b'/slow')
        statuses, _lengths = await read_answers(*[reader] * 4)
        return statuses

    statuses = stage.run(act)
    assert statuses[0] == b'200'
    served_count = statuses.count(b'200')
    assert statuses.count(b'503') == 4 - served_count
    assert served_count < 4
    assert stage.started.count(b'/small') + 1 == served_count


async def read_slowly(reader):
    for _part in range(15):
        await asyncio.sleep(0.1)  # noqa: WPS476
        await reader.read(1 << 20)  # noqa: WPS476


def test_only_the_caller_that_reads_nothing_is_closed(monkeypatch):
    """Guards against answers that are kept for good for such a caller."""
    monkeypatch.setattr(server, '_MAX_UNREAD_SECONDS', 0.6)
    stage = Stage(
        answer=Answer(200, (), b'a' * 12_000_000), max_bytes=50_000_000
    )

    async def act():
        stage.is_open = True
        reader, writer = await stage.connect()
        writer.write(SMALL)
        slow_reader, slow_writer = await stage.connect()
        slow_writer.write(SMALL)
        await read_slowly(slow_reader)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        return slow_reader.at_eof()

    assert stage.run(act) is False
    assert [found.kind for found in stage.closures] == [BufferKind.UNREAD]


def test_body_stays_charged_while_its_request_runs_without_its_caller():
    """Guards against bodies in no account after their caller has left."""
    stage = Stage()

    async def act():
        _reader, writer = await stage.post(b'/order')
        writer.close()
        await asyncio.sleep(0.05)
        held = stage.budget.total_bytes
        stage.let_go(b'/order')
        await asyncio.sleep(0.05)
        return held, stage.budget.total_bytes

    held, held_after = stage.run(act, is_cancellable=False)
    assert held >= len(BODY)
    assert held_after == 0


def test_body_is_given_back_while_its_answer_waits():
    stage = Stage()

    async def act():
        reader, writer = await stage.connect()
        writer.write(b'GET /slow HTTP/1.1\r\n\r\n' + make_post(b'/small'))
        await asyncio.sleep(0.1)
        return stage.budget.total_bytes

    assert stage.run(act) < len(BODY) / 10
    assert stage.started == [b'/slow', b'/small']


async def exchange(settings, request_id=b'own'):
    connection = await open_connection(ADDRESS, seconds=1.0, settings=settings)
    try:
        return await connection.exchange(b'GET / HTTP/1.1\r\n\r\n', request_id)
    finally:
        connection.abort()


LARGE_HEAD = b'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: %d\r\n\r\n'


async def serve_large(reader, writer):
    """Answer a request with 1 MB."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(LARGE_HEAD % len(BODY) + BODY)
        await writer.drain()
        await reader.read()
    writer.close()


def read_large(act):
    """Let a server send 1 MB to each request while `act` plays."""
    settings = make_opening(id_header=b'x-id')._replace(
        buffer_budget=BufferBudget(max_bytes=1_500_000)
    )

    async def start():
        listener = await asyncio.start_server(serve_large, *ADDRESS)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                return await act(settings)
        finally:
            listener.close()
            await asyncio.sleep(0.05)

    return asyncio.run(start()), settings.buffer_budget


def test_large_answer_is_read_once_there_is_room():
    owner = object()

    async def act(settings):
        settings.buffer_budget.set_usage(owner, 1_000_000)
        task = asyncio.create_task(exchange(settings))
        await asyncio.sleep(0.3)
        is_waiting = not task.done()
        settings.buffer_budget.set_usage(owner, 0)
        return is_waiting, len((await task).body)

    found, budget = read_large(act)
    assert found == (True, len(BODY))
    assert budget.total_bytes == 0


def test_large_answer_without_room_in_time_may_have_run(monkeypatch):
    """Guards against answers that wait for room for good."""
    monkeypatch.setattr(client, 'MAX_ROOM_WAIT_SECONDS', 0.2)
    owner = object()

    async def act(settings):
        settings.buffer_budget.set_usage(owner, 1_000_000)
        with pytest.raises(NoRoomError, match='no room for a body'):
            await exchange(settings)
        settings.buffer_budget.set_usage(owner, 0)

    _found, budget = read_large(act)
    assert budget.total_bytes == 0
    assert budget.waiting_count == 0


def test_answers_together_stay_within_the_budget():
    async def act(settings):
        replies = await asyncio.gather(
            *[exchange(settings) for _reply in range(4)]
        )
        return [len(reply.body) for reply in replies]

    lengths, budget = read_large(act)
    assert lengths == [len(BODY)] * 4
    assert budget.peak_bytes < budget.max_bytes * 2


@pytest.mark.parametrize(
    ('refuses_small', 'status'), ((True, b'503'), (False, b'200'))
)
def test_full_account_refuses_callers_but_not_other_endpoints(
    refuses_small, status
):
    """Guards against a full VM that is taken for one that is not ready."""
    stage = Stage(max_bytes=100)
    stage.is_open = True
    owner = object()

    async def act():
        stage.budget.set_usage(owner, 200)
        reader, writer = await stage.connect()
        writer.write(SMALL)
        return (await read_answer(reader))[0]

    assert stage.run(act, refuses_small=refuses_small) == status
