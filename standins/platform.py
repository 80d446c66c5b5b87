"""A stand-in for the platform: object store, watches and the list of VMs."""

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

_LARGEST_OBJECT: Final = 1048576  # bytes


class Store:
    """Objects by name with a version; the history allows a roll-back."""

    def __init__(self, *, list_lag: float) -> None:
        """Start empty; the list of VMs lags by some seconds."""
        self.changed = threading.Condition()
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.history: dict[str, list[bytes]] = {}
        self.version = 0
        self.calls: dict[str, int] = {}
        self.mode = 'up'
        self.list_lag = list_lag
        self.vm_lists: list[tuple[float, Any]] = [(0, {})]

    def write(self, name: str, content: bytes) -> int:
        """Write an object and wake its watchers."""
        self.version += 1
        self.objects[name] = (self.version, content)
        self.history.setdefault(name, []).append(content)
        self.changed.notify_all()
        return self.version

    def roll_back(self, name: str) -> None:
        """Bring back the content before the newest one."""
        earlier = self.history[name][-2]
        self.version += 1
        self.objects[name] = (self.version, earlier)
        self.changed.notify_all()

    def list_vms(self, zone: str) -> Any:
        """Return the newest list that is older than the lag.

        Addresses are those at which the asking zone reaches the VMs.
        """
        until = time.monotonic() - self.list_lag
        listed = [
            vms for since, vms in self.vm_lists if since <= until or since == 0
        ][-1]
        return listed.get(zone, [])


class Handler(BaseHTTPRequestHandler):
    """Serves one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1
    store: Store

    def log_message(self, *args: object) -> None:
        """Write no access log."""

    def do_GET(self) -> None:
        """Read an object, wait on one, or list the VMs."""
        url = urlsplit(self.path)
        if url.path == '/standin/calls':
            self._send(200, json.dumps(self.store.calls).encode())
        elif self._is_out():
            self._send(503, b'')
        elif url.path == '/vms':
            self._count('list')
            zone = parse_qs(url.query).get('zone', [''])[0]
            self._send(200, json.dumps(self.store.list_vms(zone)).encode())
        elif url.path.startswith('/watch/'):
            self._count('watch')
            query = parse_qs(url.query)
            self._watch(
                unquote(url.path[len('/watch/') :]),
                int(query['known'][0]),
                float(query['wait'][0]),
            )
        else:
            self._count('read')
            with self.store.changed:
                found = self.store.objects.get(self._name())
            self._send_object(found)

    def do_PUT(self) -> None:
        """Write an object on a condition, or throw a switch."""
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        if self.path.startswith('/standin/'):
            self._switch(self.path[len('/standin/') :], json.loads(body))
            return
        if self._is_out():
            self._send(503, b'')
            return
        self._count('write')
        if len(body) > _LARGEST_OBJECT:
            self._send(413, b'')
            return
        with self.store.changed:
            version = self._write(self._name(), body)
        if self.store.mode == 'lose-replies':
            self.close_connection = True
        elif version:
            self._send(200, b'', version)
        else:
            self._send(412, b'')

    def _write(self, name: str, body: bytes) -> int:
        current = self.store.objects.get(name)
        expected = self.headers.get('If-Match', '').strip('"')
        if self.headers.get('If-None-Match') == '*':
            holds = current is None
        else:
            holds = current is not None and str(current[0]) == expected
        return self.store.write(name, body) if holds else 0

    def _watch(self, name: str, known: int, wait: float) -> None:
        deadline = time.monotonic() + wait
        with self.store.changed:
            while self.store.mode != 'down':
                found = self.store.objects.get(name)
                left = deadline - time.monotonic()
                if (found[0] if found else 0) != known or left <= 0:
                    break
                self.store.changed.wait(left)
        if self._is_out():
            self._send(503, b'')
        else:
            self._send_object(found)

    def _switch(self, name: str, content: Any) -> None:
        with self.store.changed:
            if name == 'mode':
                self.store.mode = content
            elif name == 'vms':
                self.store.vm_lists.append((time.monotonic(), content))
            elif name == 'roll-back':
                self.store.roll_back(content)
            self.store.changed.notify_all()
        self._send(200, b'')

    def _is_out(self) -> bool:
        return self.store.mode == 'down'

    def _name(self) -> str:
        return unquote(urlsplit(self.path).path[len('/objects/') :])

    def _count(self, kind: str) -> None:
        with self.store.changed:
            self.store.calls[kind] = self.store.calls.get(kind, 0) + 1

    def _send_object(self, found: tuple[int, bytes] | None) -> None:
        if found is None:
            self._send(404, b'')
        else:
            self._send(200, found[1], found[0])

    def _send(self, status: int, body: bytes, version: int = 0) -> None:
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        if version:
            self.send_header('ETag', f'"{version}"')
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    """A server with room for the connections of a whole fleet."""

    request_queue_size = 256
    daemon_threads = True


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--list-lag', type=float, default=1)
    options = parser.parse_args()
    Handler.store = Store(list_lag=options.list_lag)
    Server((options.address, options.port), Handler).serve_forever()


if __name__ == '__main__':
    main()
