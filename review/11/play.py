"""A large answer is on its way to a caller when its VM is stopped as planned."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stage_3 as st

BODY = bytes(range(256)) * 2048  # 512 KiB, as the largest downloads of the pages
PAIRS = 4
# A caller 8 ms away, to whom a window of 64 KiB is on its way at a time.
WINDOW_BYTES, ROUND_TRIP_SECONDS = 1 << 16, 0.016


async def fetch_two(stage, ip, number, head_seen):
    """Send a request, and a second one while the first is being answered."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, st.FRONT))
    reader, writer = await asyncio.open_connection(sock=sock, limit=WINDOW_BYTES)
    first, second = st.make_id(), st.make_id()
    stage.record.write(f'caller {number}: sends {first}')
    writer.write(
        st.encode_request(f'/pack/{number}a', first, thing=f'{number}', deadline_ms=4500)
    )
    try:
        async with asyncio.timeout(8.0):
            line, headers = await st.read_head(reader)
            head_seen.set()
            stage.record.write(f'caller {number}: {first} head {line!r}, sends {second}')
            writer.write(
                st.encode_request(
                    f'/pack/{number}b', second, thing=f'{number}', deadline_ms=4500
                )
            )
            wanted = int(headers['content-length'])
            body = bytearray()
            try:
                while len(body) < wanted:
                    part = await reader.read(WINDOW_BYTES)
                    if not part:
                        break
                    body += part
                    await asyncio.sleep(ROUND_TRIP_SECONDS)
            except OSError as error:
                stage.record.write(f'caller {number}: {first} {error!r}')
    except (OSError, EOFError, TimeoutError) as error:
        stage.record.write(f'caller {number}: {first} {error!r}')
        return first, line if 'line' in locals() else '', b'', 1
    finally:
        writer.transport.abort()
    stage.record.write(f'caller {number}: {first} got {len(body)} of {wanted} bytes')
    return first, line, bytes(body), wanted


async def case(stage):
    route = st.make_route(
        'pack', '/pack/', route_type='download', timeout='5000ms', target_latency='724ms'
    )
    stage.store.put('config', 'main', st.make_configuration([route]))
    target = await stage.add_target('i-7f3a91c2', 'gp-braam', 1)
    target.plan = lambda _path, _headers, _body: (0.44, 200, BODY)
    ip = f'{stage.net}.1.1'
    stage.start_vm('front-gp-braam-1', 'gp-braam', ip)
    await stage.wait_ready()
    await asyncio.sleep(3.5)
    for _ in range(3):
        request_id, answer = await st.ask(ip, '/pack/warm', deadline_ms=4500)
        stage.record.write(f'caller: {request_id} {answer.status} {answer.why}')
        if answer.status != 200 or answer.body != BODY:
            raise st.CannotRun('the calm deployment does not serve')
    head_seen = asyncio.Event()
    pairs = [
        asyncio.ensure_future(fetch_two(stage, ip, number, head_seen))
        for number in range(PAIRS)
    ]
    await asyncio.sleep(0.2)
    if st.TROUBLE:
        stage.signal_vm('front-gp-braam-1', signal.SIGTERM)
    faults = []
    for first, line, body, wanted in await asyncio.gather(*pairs):
        run = next((run for run in target.runs if run.request_id == first), None)
        if run and run.is_whole and len(body) < wanted:
            faults.append(
                f'LOST: {first} was read whole and answered by its target; its'
                f' connection ended after {len(body)} of {wanted} bytes'
            )
    return faults


st.play(Path(__file__).parent, {'gp-braam': 'gauteng'}, case)
