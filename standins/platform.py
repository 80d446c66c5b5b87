"""A stand-in for the platform: object store, watches and list of VMs."""

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

_MAX_OBJECT_BYTES: Final = 1048576


class Store:
    """Versioned objects by name, with earlier contents for roll-backs."""

    def __init__(self, *, vm_list_lag_seconds: float) -> None:
        """Start empty; changes of the list of VMs are visible after the lag."""
        self.changed = threading.Condition()
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.history: dict[str, list[bytes]] = {}
        self.version = 0
        self.call_counts: dict[str, int] = {}
        self.mode = 'up'
        self.vm_list_lag_seconds = vm_list_lag_seconds
        self.vm_lists: list[tuple[float, Any]] = [(0, {})]

    def write(self, name: str, content: bytes) -> int:
        """Write an object, notify watchers and return the new version."""
        self.version += 1
        self.objects[name] = (self.version, content)
        self.history.setdefault(name, []).append(content)
        self.changed.notify_all()
        return self.version

    def roll_back(self, name: str) -> None:
        """Restore the content before the newest one under a new version."""
        previous = self.history[name][-2]
        self.version += 1
        self.objects[name] = (self.version, previous)
        self.changed.notify_all()

    def list_vms(self, zone: str) -> Any:
        """Return the newest list of VMs that is older than the lag.

        Addresses are those that clients in the given zone use.
        """
        listed_before = time.monotonic() - self.vm_list_lag_seconds
        vms_by_zone = [
            vms
            for published_at, vms in self.vm_lists
            if published_at <= listed_before or published_at == 0
        ][-1]
        return vms_by_zone.get(zone, [])


class Handler(BaseHTTPRequestHandler):
    """Serves requests of one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1
    store: Store

    def log_message(self, *args: object) -> None:
        """Suppress the access log."""

    def do_GET(self) -> None:
        """Return an object, wait for its next version, or list the VMs."""
        url = urlsplit(self.path)
        if url.path == '/standin/calls':
            self._send(200, json.dumps(self.store.call_counts).encode())
        elif self._is_down():
            self._send(503, b'')
        elif url.path == '/vms':
            self._record_call('list')
            zone = parse_qs(url.query).get('zone', [''])[0]
            self._send(200, json.dumps(self.store.list_vms(zone)).encode())
        elif url.path.startswith('/watch/'):
            self._record_call('watch')
            query = parse_qs(url.query)
            self._watch(
                unquote(url.path[len('/watch/') :]),
                int(query['known'][0]),
                float(query['wait'][0]),
            )
        else:
            self._record_call('read')
            with self.store.changed:
                found = self.store.objects.get(self._get_object_name())
            self._send_object(found)

    def do_PUT(self) -> None:
        """Write an object conditionally, or run a control command."""
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        if self.path.startswith('/standin/'):
            self._set_control(self.path[len('/standin/') :], json.loads(body))
            return
        if self._is_down():
            self._send(503, b'')
            return
        self._record_call('write')
        if len(body) > _MAX_OBJECT_BYTES:
            self._send(413, b'')
            return
        with self.store.changed:
            version = self._write_if_matching(self._get_object_name(), body)
        if self.store.mode == 'lose-replies':
            self.close_connection = True
        elif version:
            self._send(200, b'', version)
        else:
            self._send(412, b'')

    def _write_if_matching(self, name: str, body: bytes) -> int:
        current = self.store.objects.get(name)
        expected = self.headers.get('If-Match', '').strip('"')
        if self.headers.get('If-None-Match') == '*':
            is_matching = current is None
        else:
            is_matching = current is not None and str(current[0]) == expected
        return self.store.write(name, body) if is_matching else 0

    def _watch(
        self, name: str, known_version: int, wait_seconds: float
    ) -> None:
        deadline = time.monotonic() + wait_seconds
        with self.store.changed:
            while self.store.mode != 'down':
                found = self.store.objects.get(name)
                remaining_seconds = deadline - time.monotonic()
                if (
                    found[0] if found else 0
                ) != known_version or remaining_seconds <= 0:
                    break
                self.store.changed.wait(remaining_seconds)
        if self._is_down():
            self._send(503, b'')
        else:
            self._send_object(found)

    def _set_control(self, name: str, content: Any) -> None:
        with self.store.changed:
            if name == 'mode':
                self.store.mode = content
            elif name == 'vms':
                self.store.vm_lists.append((time.monotonic(), content))
            elif name == 'roll-back':
                self.store.roll_back(content)
            self.store.changed.notify_all()
        self._send(200, b'')

    def _is_down(self) -> bool:
        return self.store.mode == 'down'

    def _get_object_name(self) -> str:
        return unquote(urlsplit(self.path).path[len('/objects/') :])

    def _record_call(self, kind: str) -> None:
        with self.store.changed:
            self.store.call_counts[kind] = (
                self.store.call_counts.get(kind, 0) + 1
            )

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
    """A threading server whose backlog holds connections of a whole fleet."""

    request_queue_size = 256
    daemon_threads = True


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--list-lag', type=float, default=1)
    options = parser.parse_args()
    Handler.store = Store(vm_list_lag_seconds=options.list_lag)
    Server((options.address, options.port), Handler).serve_forever()


if __name__ == '__main__':
    main()
