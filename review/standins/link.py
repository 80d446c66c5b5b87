"""A proxy that stands for the link of a client: a bandwidth, small windows."""

import asyncio
import socket

WINDOW_BYTES = 16384
STEP_S = 0.01


class Link:
    """Passes the bytes of each connection on, answers at a bandwidth."""

    def __init__(self, *, target, bytes_per_s):
        self.host, _, port = target.partition(':')
        self.port = int(port)
        self.bytes_per_s = bytes_per_s
        self.server = None
        self.tasks = set()
        self.resets = []  # errors with which the target ended connections

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        far = socket.socket()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        far.setblocking(False)
        try:
            await loop.sock_connect(far, (self.host, self.port))
        except OSError:
            writer.transport.abort()
            far.close()
            return
        up = asyncio.create_task(self.pass_up(loop, reader, far))
        self.tasks.add(up)
        try:
            await self.pass_down(loop, far, writer)
        except OSError as error:
            self.resets.append(type(error).__name__)
            # A reset reaches the client as one, after what came before it.
            await drain_quietly(writer)
            writer.transport.abort()
        else:
            writer.close()
        up.cancel()
        self.tasks.discard(up)
        far.close()

    async def pass_up(self, loop, reader, far):
        while True:
            received = await reader.read(65536)
            if not received:
                far.shutdown(socket.SHUT_WR)
                return
            await loop.sock_sendall(far, received)

    async def pass_down(self, loop, far, writer):
        step_bytes = max(1, int(self.bytes_per_s * STEP_S))
        while True:
            received = await loop.sock_recv(far, step_bytes)
            if not received:
                return
            writer.write(received)
            await writer.drain()
            await asyncio.sleep(len(received) / self.bytes_per_s)


async def drain_quietly(writer):
    try:
        await writer.drain()
    except OSError:
        return
