"""A stand-in for a target: echoes requests and injects faults."""

import argparse
import json
import os
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from standins.platform import Server

_LARGE_BODY_BYTES: Final = 20971520
_ETAG: Final = '"v1"'


class TargetState:
    """The name of a target, its journal, its load and its injected fault."""

    def __init__(self, *, name: str, journal: str) -> None:
        """Open the journal file for appending."""
        self.name = name
        self.mode = 'well'
        self.delay_seconds = 0.0
        self._journal = os.open(
            journal,
            os.O_WRONLY | os.O_APPEND | os.O_CREAT,
        )
        self.lock = threading.Lock()
        self.running_count = 0
        self.max_running_count = 0

    def record(self, entry: dict[str, Any]) -> None:
        """Append the entry of a request that ran, before its answer is sent."""
        os.write(self._journal, json.dumps(entry).encode() + b'\n')


class Handler(BaseHTTPRequestHandler):
    """Serves requests of one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1
    state: TargetState

    def log_message(self, *args: object) -> None:
        """Suppress the access log."""

    def __getattr__(self, name: str) -> Any:
        """Serve all HTTP methods in the same way."""
        if name.startswith('do_'):
            return self._serve
        raise AttributeError(name)

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        if self.path.startswith('/standin/'):
            self._set_mode(json.loads(body))
            return
        with self.state.lock:
            self.state.running_count += 1
            self.state.max_running_count = max(
                self.state.max_running_count, self.state.running_count
            )
        try:
            self._execute(body)
        finally:
            with self.state.lock:
                self.state.running_count -= 1
        self._respond(body)

    def _execute(self, body: bytes) -> None:
        if self.state.mode == 'silent':
            time.sleep(60)
        query = parse_qs(urlsplit(self.path).query)
        time.sleep(float(query.get('delay', [self.state.delay_seconds])[0]))
        self.state.record(
            {
                'at': time.monotonic(),
                'target': self.state.name,
                'method': self.command,
                'path': self.path,
                'headers': dict(self.headers.items()),
                'body': body.decode('latin-1'),
            }
        )

    def _respond(self, body: bytes) -> None:
        mode = self.state.mode
        query = parse_qs(urlsplit(self.path).query)
        if mode == 'fail':
            self._send(500, b'{}')
        elif 'large' in query:
            self._send(200, bytes(_LARGE_BODY_BYTES))
        elif self.headers.get('If-None-Match') == _ETAG:
            self._send(304, b'')
        elif mode == 'cut':
            self._send_truncated()
        else:
            self._send(200, self._describe(body))

    def _describe(self, body: bytes) -> bytes:
        return json.dumps(
            {
                'target': self.state.name,
                'method': self.command,
                'path': self.path,
                'body': body.decode('latin-1'),
                'peak': self.state.max_running_count,
            }
        ).encode()

    def _set_mode(self, content: dict[str, Any]) -> None:
        self.state.mode = content.get('mode', self.state.mode)
        self.state.delay_seconds = content.get(
            'delay', self.state.delay_seconds
        )
        self._send(
            200, json.dumps({'peak': self.state.max_running_count}).encode()
        )

    def _send_truncated(self) -> None:
        self.send_response(200)
        self.send_header('Content-Length', '1000')
        self.end_headers()
        self.wfile.write(b'short')
        self.wfile.flush()
        self.connection.shutdown(socket.SHUT_RDWR)
        self.close_connection = True

    def _send(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header('ETag', _ETAG)
        request_id = self.headers.get('Toucanhall-Request-Id')
        if request_id:
            self.send_header('Toucanhall-Request-Id', request_id)
        if status != 304:
            self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body)
        self.wfile.flush()


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--name', required=True)
    parser.add_argument('--address', required=True)
    parser.add_argument('--journal', required=True)
    options = parser.parse_args()
    Handler.state = TargetState(name=options.name, journal=options.journal)
    host, port = options.address.split(':')
    Server((host, int(port)), Handler).serve_forever()


if __name__ == '__main__':
    main()
