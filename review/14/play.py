"""Two regions lose each other for 40 s while a team sends over its limit."""

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stage_3 as st

RATE, BURST = 20, 20
WINDOW_SECONDS, OVERAGE, SLACK = 5.0, 0.1, 20
ASKED_PER_SECOND = 40.0  # at each region
CALM_SECONDS, CUT_SECONDS = 8.0, 40.0
# Ports are the same on all machines of a day. Those of the two regions differ
# here, so that links stand between them which can be cut.
PORTS = {'gp-braam': (7560, 8381), 'wc-woodstock': (7660, 8391)}
ROUTES = {'gp-braam': '/gauteng/', 'wc-woodstock': '/western-cape/'}


class Links:
    """All traffic between VMs of the two regions, and of one to the store."""

    def __init__(self):
        self.is_cut = False
        self._writers = set()
        self._servers = []
        self._sockets = {}

    def cut(self, is_cut):
        """Drop what comes from now on, silently, or let it pass again."""
        self.is_cut = is_cut

    async def join(self, ips):
        """Link the VMs: `ips` has their addresses by zone."""
        (zone_a, zone_b) = ips
        loop = asyncio.get_running_loop()
        for zone, other in ((zone_a, zone_b), (zone_b, zone_a)):
            for ip in ips[zone]:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.bind((ip, PORTS[other][0]))
                self._sockets[ip] = sock
                await self.relay(ip, PORTS[other][1], ip, PORTS[zone][1])
        for zone, other in ((zone_a, zone_b), (zone_b, zone_a)):
            for ip in ips[zone]:
                loop.add_reader(
                    self._sockets[ip], self._pass_on, self._sockets[ip], ip,
                    PORTS[zone][0],
                )

    def _pass_on(self, sock, ip, port):
        """Pass datagrams of the other region on to the VM at `ip`."""
        while True:
            try:
                datagram, (sender, _) = sock.recvfrom(65536)
            except OSError:
                return
            if not self.is_cut and sender in self._sockets:
                self._sockets[sender].sendto(datagram, (ip, port))

    async def relay(self, host, port, to_host, to_port):
        """Pass connections to an address on to another one."""

        async def copy(reader, writer):
            while True:
                part = await reader.read(65536)
                while self.is_cut:
                    await asyncio.sleep(0.05)
                if not part:
                    return
                writer.write(part)

        async def serve(reader, writer):
            self._writers.add(writer)
            onward = None
            try:
                while self.is_cut:
                    await asyncio.sleep(0.05)
                onward_reader, onward = await asyncio.open_connection(
                    to_host, to_port
                )
                self._writers.add(onward)
                await asyncio.wait(
                    {
                        asyncio.ensure_future(copy(reader, onward)),
                        asyncio.ensure_future(copy(onward_reader, writer)),
                    },
                    return_when=asyncio.FIRST_COMPLETED,
                )
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                for found in (writer, onward):
                    if found:
                        self._writers.discard(found)
                        found.close()

        self._servers.append(await asyncio.start_server(serve, host, port))

    def end(self):
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()
        for sock in self._sockets.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


async def send_requests(stage, zone, found):
    """The callers of a region use its VMs in turn."""
    names = [name for name in stage.vms if name.startswith(f'front-{zone}')]
    tasks = set()

    async def one(number):
        thing = random.randrange(40)
        _, answer = await st.ask(
            stage.ips[names[number % len(names)]],
            f'{ROUTES[zone]}{thing}',
            thing=f'{thing}',
        )
        found[answer.status] = found.get(answer.status, 0) + 1

    for number in range(10**6):
        task = asyncio.ensure_future(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(ASKED_PER_SECOND))


async def case(stage):
    routes = [
        st.make_route(zone, path, home_regions=[stage.zones[zone]])
        for zone, path in ROUTES.items()
    ]
    team = {
        'name': st.TEAM,
        'api_keys': [st.KEY],
        'rate_per_s': RATE,
        'burst': BURST,
        'home_regions': [],
    }
    stage.store.put('config', 'main', st.make_configuration(routes, teams=[team]))
    for number, zone in enumerate(('gp-braam', 'wc-woodstock') * 2, 1):
        target = await stage.add_target(f'i-{number:08x}', zone, number)
        target.plan = lambda _path, _headers, _body: (0.03, 200, b'whole')
    links = Links()
    ips = {
        zone: [f'{stage.net}.{number}.{last}' for last in (1, 2)]
        for number, zone in enumerate(ROUTES, 1)
    }
    await links.join(ips)
    # The store stands in gauteng.
    store_address = stage.store.address
    await links.relay(f'{stage.net}.201.1', st.STORE_PORT, *store_address.split(':'))
    try:
        for zone, (gossip, control) in PORTS.items():
            is_far = stage.zones[zone] != 'gauteng'
            stage.store.address = (
                f'{stage.net}.201.1:{st.STORE_PORT}' if is_far else store_address
            )
            for last, ip in enumerate(ips[zone], 1):
                stage.start_vm(
                    f'front-{zone}-{last}', zone, ip, gossip=gossip, control=control,
                    seeds=[f'{found}:{control}' for found in (ips['gp-braam'][0], ips['wc-woodstock'][0])],
                )
        await stage.wait_ready()
        await asyncio.sleep(4.0)
        found = {zone: {} for zone in ROUTES}
        sending = [
            asyncio.ensure_future(send_requests(stage, zone, found[zone]))
            for zone in ROUTES
        ]
        began = time.monotonic()
        for is_cut, seconds in ((False, CALM_SECONDS), (st.TROUBLE, CUT_SECONDS)):
            links.cut(is_cut)
            stage.record.write(f'regions are {"cut" if is_cut else "joined"}; {found}')
            await asyncio.sleep(seconds)
        for task in sending:
            task.cancel()
    finally:
        links.end()
    stage.record.write(f'callers got {found}')
    times = sorted(
        run.at for target in stage.targets.values() for run in target.runs
    )
    allowed = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK
    faults = []
    for since in range(0, int(CALM_SECONDS + CUT_SECONDS), 2):
        count = sum(
            began + since <= at < began + since + WINDOW_SECONDS for at in times
        )
        stage.record.write(
            f'{count} requests of the team run from {since} to {since + 5} s,'
            f' {allowed:.0f} allowed'
        )
        if count > allowed:
            faults.append(
                f'QUOTA: {count} requests of the team ran within 5 s,'
                f' {since - CALM_SECONDS:.0f} s after the cut; {allowed:.0f} are allowed'
            )
    return faults


st.play(
    Path(__file__).parent,
    {'gp-braam': 'gauteng', 'wc-woodstock': 'western-cape'},
    case,
)
