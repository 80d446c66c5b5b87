"""Tests of what the heads of callers' requests may hold."""

import asyncio

from tests.unit.test_server import make_handler
from toucanhall.fleet.model import Address
from toucanhall.web.buffer_budget import BufferBudget, BufferKind
from toucanhall.web.messages import Answer
from toucanhall.web.server import Connection

ADDRESS = Address('127.92.202.1', 9002)
SHORT_LINE = b'x: y\r\n'
# More fields than servers commonly allow, in a head of 6 KiB.
MANY_LINES = SHORT_LINE * 1000
ALLOWED_LINES = SHORT_LINE * 90
BUDGET_BYTES = 100_000


def run(act, handler):
    async def start():
        server = await asyncio.get_running_loop().create_server(
            lambda: Connection(handler=handler), *ADDRESS
        )
        try:
            async with asyncio.timeout(5.0):
                return await act()
        finally:
            server.close()

    return asyncio.run(start())


def make_budget_and_handler():
    budget = BufferBudget(max_bytes=BUDGET_BYTES)
    rejected = []
    handler = make_handler(Answer(200), budget)._replace(
        on_rejected=lambda *found: rejected.append(found)
    )
    return budget, handler, rejected


async def send(*heads):
    """Send the start of a request on a connection each; return them."""
    connections = []
    for head in heads:
        reader, writer = await asyncio.open_connection(*ADDRESS)  # noqa: WPS476
        writer.write(b'POST / HTTP/1.1\r\n' + head)
        connections.append((reader, writer))
        await asyncio.sleep(0.02)  # noqa: WPS476
    return connections


def close(connections):
    for _reader, writer in connections:
        writer.close()


def test_request_of_too_many_fields_is_refused():
    _budget, handler, rejected = make_budget_and_handler()

    async def act():
        connections = await send(MANY_LINES + b'\r\n')
        answer = await connections[0][0].read()
        close(connections)
        return answer

    assert run(act, handler).startswith(b'HTTP/1.1 431 ')
    assert rejected == [(431, 'too many header fields')]


def test_incomplete_heads_are_charged_until_their_connection_is_closed():
    budget, handler, _rejected = make_budget_and_handler()

    async def act():
        connections = await send(ALLOWED_LINES, ALLOWED_LINES)
        held = dict(budget.bytes_by_kind)
        close(connections)
        await asyncio.sleep(0.05)
        return held

    held = run(act, handler)
    assert held[BufferKind.HEAD] > 2 * len(ALLOWED_LINES)
    assert budget.total_bytes == 0


def test_largest_incomplete_head_is_refused_over_the_budget():
    budget, handler, rejected = make_budget_and_handler()

    async def act():
        connections = await send(*[ALLOWED_LINES] * 9, SHORT_LINE)
        refused = [reader for reader, _writer in connections if reader._buffer]
        lines = await asyncio.gather(*[found.readline() for found in refused])
        connections[-1][1].write(b'content-length: 0\r\n\r\n')
        last = await connections[-1][0].readline()
        close(connections)
        return {line[9:12] for line in lines}, last

    statuses, last = run(act, handler)
    assert statuses == {b'503'}
    assert last.startswith(b'HTTP/1.1 200 ')
    assert {status for status, _why in rejected} == {503}
    assert budget.peak_bytes <= BUDGET_BYTES


def test_heads_of_requests_being_served_are_charged():
    budget, handler, _rejected = make_budget_and_handler()

    async def wait(_request):
        await asyncio.Event().wait()

    async def act():
        connections = await send(ALLOWED_LINES + b'content-length: 0\r\n\r\n')
        held = budget.bytes_by_kind[BufferKind.COMPLETE]
        close(connections)
        await asyncio.sleep(0.05)
        return held

    assert run(act, handler._replace(serve=wait)) > len(ALLOWED_LINES)
    assert budget.total_bytes == 0
