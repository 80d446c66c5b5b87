"""A target that sends scripted bytes, such as no real server sends."""

import socket
import threading
from contextlib import contextmanager, suppress

SILENCE = b''  # no answer at all


class ScriptedTarget:
    """Answers the requests of all connections with scripted bytes in turn."""

    def __init__(self, *, answers, closes):
        """Listen on a loopback port."""
        self.answers = list(answers)
        self.closes = closes
        self.connections = 0
        self.requests = []
        self.ended = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening and end the connections without an answer."""
        self.ended.set()
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True,
            ).start()  # fmt: skip

    def _serve(self, connection):
        with (
            suppress(ConnectionResetError),
            connection,
            connection.makefile('rb') as reader,
        ):
            for head in iter(lambda: _read_head(reader), ''):
                self.requests.append(head)
                if not self._answer(connection) or self.closes:
                    return

    def _answer(self, connection):
        answer = self.answers.pop(0)
        if answer == SILENCE:
            self.ended.wait(60)
            return False
        connection.sendall(answer)
        return True


def _read_head(reader):
    lines = list(iter(lambda: reader.readline().strip(), b''))
    head = b'\r\n'.join(lines).decode('latin-1')
    for line in lines:
        name, _, content = line.partition(b':')
        if name.lower() == b'content-length':
            head += reader.read(int(content)).decode('latin-1')
    return head


@contextmanager
def start_target(*answers, closes=False):
    """Run a target that sends `answers` in turn."""
    target = ScriptedTarget(answers=answers, closes=closes)
    try:
        yield target
    finally:
        target.close()


def make_answer(*headers, body=b'whole'):
    """Return the bytes of an answer with the correct length."""
    lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(body)}', *headers]
    return b''.join(('\r\n'.join((*lines, '', '')).encode(), body))


def make_chunked(chunks):
    """Return the bytes of an answer whose body is encoded `chunks`."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    return b''.join((head, chunks))
