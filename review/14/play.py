"""A target starts again under its id while the store is away.

While it is cold, it crashes at over two and a half times the rate that it bears, as the pages
say, and is back after a second.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stage_3 as st

COLD_PER_S, COLD_SECONDS, OVERAGE, SLACK = 16.0, 3.0, 1.5, 5
REQUESTS_PER_SECOND = 120.0  # at two targets of nine slots and 30 ms of work
OUTAGE_SECONDS = 4.5
VMS = ('front-gp-braam-1', 'front-gp-braam-2')
STORE_STAYS = os.environ.get('STORE_STAYS') == '1'


async def send_requests(stage, found):
    tasks = set()

    async def one():
        thing = random.randrange(200)
        ip = stage.ips[random.choice(VMS)]
        path, method = random.choice((('/view/', 'GET'),) * 3 + (('/book/', 'POST'),))
        _, answer = await st.ask(ip, f'{path}{thing}', method=method, thing=f'{thing}')
        key = (path, answer.status)
        found[key] = found.get(key, 0) + 1

    while True:
        task = asyncio.ensure_future(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))


async def case(stage):
    routes = [
        st.make_route('view', '/view/'),
        st.make_route('book', '/book/', route_type='non_idempotent'),
    ]
    stage.store.put(
        'config',
        'main',
        st.make_configuration(routes, cold_start='3s', cold_per_s=COLD_PER_S),
    )
    first = await stage.add_target('i-7f3a91c2', 'gp-braam', 1)
    second = await stage.add_target('i-02d9e6b4', 'gp-braam', 2)
    cold_until = 0.0

    crashes = []

    async def come_back():
        await asyncio.sleep(1.0)
        await first.start(first.host)
        stage.record.write('target i-7f3a91c2: is back')

    def plan(_path, _headers, _body):
        now = time.monotonic()
        is_cold = now < cold_until
        recent = [one for one in first.arrivals[-100:] if one[0] > now - 1.0]
        if is_cold and len(recent) > 2.5 * COLD_PER_S:
            stage.record.write(
                f'target i-7f3a91c2: crashes, {len(recent)} requests in a second'
            )
            first.arrivals_before += first.arrivals
            first.arrivals = []
            first.stop()
            crashes.append(asyncio.ensure_future(come_back()))
        return (0.06 if is_cold else 0.03), 200, b'route'

    first.arrivals_before = []

    first.plan = plan
    second.plan = lambda _path, _headers, _body: (0.03, 200, b'route')
    first.extra_headers = lambda: (
        (f'X-Toucanhall-Cold-Remaining: {cold_until - time.monotonic():.1f}s',)
        if time.monotonic() < cold_until
        else ()
    )
    for number, name in enumerate(VMS, 1):
        stage.start_vm(name, 'gp-braam', f'{stage.net}.1.{number}')
    await stage.wait_ready()
    await asyncio.sleep(3.5)
    found = {}
    sending = asyncio.ensure_future(send_requests(stage, found))
    await asyncio.sleep(4.0)
    started_at = time.monotonic()
    if st.TROUBLE:
        stage.record.write(f'before: {found}')
        if not STORE_STAYS:
            stage.store.set_down(True)
        await asyncio.sleep(0.5)
        stage.record.write('target i-7f3a91c2: crashes')
        first.stop()
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        cold_until = started_at + COLD_SECONDS
        entry = {
            **first.entry, 'born': int(time.time() * 1000), 'cold_left': '3000ms'
        }
        await first.start(first.host)
        stage.record.write('target i-7f3a91c2: starts again under its id, cold')
        if STORE_STAYS:
            stage.store.put('servers', first.name, entry)
        await asyncio.sleep(OUTAGE_SECONDS - 1.5)
        if not STORE_STAYS:
            stage.store.set_down(False)
            stage.store.put('servers', first.name, {**entry, 'cold_left': '0ms'})
        await asyncio.sleep(1.0)
    else:
        await asyncio.sleep(5.5)
    sending.cancel()
    stage.record.write(f'callers got {found}')
    if not st.TROUBLE:
        return []
    times = [
        arrival[0]
        for arrival in (*first.arrivals_before, *first.arrivals)
        if started_at <= arrival[0] <= cold_until
    ]
    most = max(
        (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
    )
    allowed = COLD_PER_S * OVERAGE + SLACK
    stage.record.write(
        f'target i-7f3a91c2: {len(times)} requests while cold, at most {most} in a'
        f' second; {allowed:.0f} are allowed; {len(crashes)} crashes'
    )
    if most <= allowed:
        return []
    return [f'FAILBACK: {most} requests in a second at a cold target, {allowed:.0f} allowed']


st.play(Path(__file__).parent, {'gp-braam': 'gauteng'}, case)
