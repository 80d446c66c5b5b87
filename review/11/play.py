"""A request is sent more than 3 s after the SIGTERM of its VM; grace is 10 s.

Times are those of `tour-times` of the large deployment: 5.6 s of work, 0.3 of
that at a target that handled the object lately, 4.1 s aimed at, 12 s of
timeout, 30 s of deadline.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stage_3 as st

GRACE_SECONDS = 10.0
WARM_SECONDS = 1.7
COLD_SECONDS = 5.8
DEADLINE_MS = 30000


async def request(stage, connection, number, path, thing):
    """Send one request on a kept connection; return id, time and answer."""
    reader, writer = connection
    request_id = st.make_id()
    sent_at = time.monotonic()
    stage.record.write(f'caller {number}: sends {request_id} {path}')
    writer.write(
        st.encode_request(path, request_id, thing=thing, deadline_ms=DEADLINE_MS)
    )
    async with asyncio.timeout(20):
        answer = await st.read_answer(reader)
    stage.record.write(
        f'caller {number}: {request_id} gets {answer.status}'
        f' {answer.body[:40]!r} {answer.why} after'
        f' {time.monotonic() - sent_at:.2f} s'
    )
    return request_id, sent_at, answer


async def case(stage):
    stage.bounds = {'grace': '10s'}
    route = st.make_route(
        'tours', '/tours/', timeout='12000ms', target_latency='4096ms', priority=2
    )
    stage.store.put('config', 'main', st.make_configuration([route]))
    handled = set()

    def plan(path, _headers, _body):
        is_warm = path in handled
        handled.add(path)
        return (WARM_SECONDS if is_warm else COLD_SECONDS), 200, b'schedule'

    target = await stage.add_target('i-7f3a91c2', 'gp-braam', 1)
    target.plan = plan
    ip = f'{stage.net}.1.1'
    stage.start_vm('front-gp-braam-1', 'gp-braam', ip)
    await stage.wait_ready()
    await asyncio.sleep(3.5)
    handled.update(f'/tours/{number}' for number in range(8))
    connections = [
        await asyncio.open_connection(ip, st.FRONT) for _ in range(8)
    ]
    for _ in range(4):
        found = await asyncio.gather(
            *(
                request(stage, connection, number, f'/tours/{number}', f'{number}')
                for number, connection in enumerate(connections)
            )
        )
        if any(answer.status != 200 for _, _, answer in found):
            raise st.CannotRun('the calm deployment does not serve')
    stopped_at = time.monotonic()
    if st.TROUBLE:
        stage.signal_vm('front-gp-braam-1', signal.SIGTERM)

    async def late(number, connection):
        await asyncio.sleep(max(0.0, stopped_at + 3.5 + number * 0.05 - time.monotonic()))
        path = f'/tours/new-{number}'
        return await request(stage, connection, number, path, f'n{number}')

    found = await asyncio.gather(
        *(late(number, connection) for number, connection in enumerate(connections))
    )
    await asyncio.sleep(0.5)  # the target sees that its connections closed
    faults = []
    for request_id, sent_at, answer in found:
        run = next((run for run in target.runs if run.request_id == request_id), None)
        if run is None or run.is_whole or run.ended_at is None:
            continue
        is_own = 'x-toucanhall-response-stamp' not in answer.headers
        if is_own and sent_at - stopped_at > 3.0 and (
            run.ended_at < stopped_at + GRACE_SECONDS
        ):
            faults.append(
                f'LOST: {request_id}, sent {sent_at - stopped_at:.2f} s after the'
                f' SIGTERM, was broken off at {run.ended_at - stopped_at:.2f} s'
                f' while its target was at work; the caller got {answer.status}'
                f' {answer.body!r}'
            )
    return faults


st.play(Path(__file__).parent, {'gp-braam': 'gauteng'}, case)
