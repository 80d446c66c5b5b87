"""A stand-in for the platform's store: objects, watches, and its faults."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs, unquote

from toucanhall.web.memory import BufferBudget
from toucanhall.web.messages import Answer, Request, make_error_answer
from toucanhall.web.server import Connection, Handler, ServerLimits

__all__ = ('StoreStandin',)

_PREFIX: Final = '/toucanhall/objects/'
_PAGE: Final = 500
_LIMITS: Final = ServerLimits(65536, 1 << 21, 10.0, 60.0)
_HELD_BYTES: Final = 1 << 26
_MOST_CONNECTIONS: Final = 1000
_JSON: Final = ((b'content-type', b'application/json'),)

Document = dict[str, Any]
Fault = Callable[[Request], str | int | None]


class _Event(NamedTuple):
    revision: int
    kind: str
    content: Document


class StoreStandin:
    """Objects by kind and name with one counter of revisions.

    `decide_fault` is called with each request: it returns a status to answer with,
    'silent' to answer never, 'lost' to act and answer never, or None.
    """

    def __init__(self) -> None:
        """Start empty, without faults."""
        self.revision = 1
        self.objects: dict[str, dict[str, Document]] = {}
        self.decide_fault: Fault = lambda _call: None
        self.calls: list[str] = []
        self._events: list[_Event] = []
        self._oldest = 1
        self._changed = asyncio.Event()
        self._stale: dict[str, list[Document]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        handler = Handler(
            serve=self._serve,
            answer_error=make_error_answer,
            is_cancellable=lambda _request: True,
            get_limits=lambda: _LIMITS,
            is_stopping=lambda: False,
            is_lagging=lambda: False,
            connections=set(),
            buffer_budget=BufferBudget(max_bytes=_HELD_BYTES),
            max_connections=_MOST_CONNECTIONS,
        )
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(handler=handler),
            host,
            port,
        )

    def stop(self) -> None:
        """Listen no longer."""
        if self._server is not None:
            self._server.close()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as operators and targets do."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found['spec'] == spec:
            return self.revision
        self.revision += 1
        created = found['metadata']['create_revision'] if found else None
        self.objects[kind][name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': created or self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._tell(kind, self.objects[kind][name], is_deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._tell(kind, found, is_deleted=True)

    def set_fault(self, fault: Fault) -> None:
        """Let calls fail, and watches that are waiting."""
        self.decide_fault = fault
        self._wake()

    def compact(self) -> None:
        """Forget the history; watches from before it are answered with 410."""
        self._events = []
        self._oldest = self.revision + 1
        self._wake()

    def freeze_stale_reads(self) -> None:
        """Answer stale reads by what the store holds now."""
        self._stale = {
            kind: list(found.values()) for kind, found in self.objects.items()
        }

    def _tell(self, kind: str, found: Document, *, is_deleted: bool) -> None:
        content = {'deleted': is_deleted, 'object': found}
        self._events.append(_Event(self.revision, kind, content))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request: Request) -> Answer:
        path, _, query = request.path.decode().partition('?')
        self.calls.append(f'{request.method.decode()} {path}')
        fault = self.decide_fault(request)
        if isinstance(fault, int):
            return _answer(fault, {})
        if fault == 'silent':
            await asyncio.Event().wait()
        kind, _, name = path.removeprefix(_PREFIX).partition('/')
        arguments = {key: found[0] for key, found in parse_qs(query).items()}
        if request.method == b'GET' and 'watch' in arguments:
            return await self._watch(kind, arguments, request)
        answer = _CALLS[request.method](
            self,
            kind,
            unquote(name),
            arguments,
            request,
        )
        if fault == 'lost':
            await asyncio.Event().wait()
        return answer

    async def _watch(
        self,
        kind: str,
        arguments: dict[str, str],
        request: Request,
    ) -> Answer:
        since = int(arguments['watch'])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(arguments['wait_ms']) / 1000
        while True:
            fault = self.decide_fault(request)
            if isinstance(fault, int):
                return _answer(fault, {})
            if since + 1 < self._oldest:
                return _answer(410, {})
            events = [
                event.content
                for event in self._events
                if event.kind == kind and event.revision > since
            ]
            left = end - loop.time()
            if events or left <= 0:
                body = {'events': events, 'as_of': self.revision}
                return _answer(200, body)
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _get(
        self,
        kind: str,
        name: str,
        arguments: dict[str, str],
        _request: Request,
    ) -> Answer:
        if name:
            found = self.objects.get(kind, {}).get(name)
            return _answer(200, found) if found else _answer(404, {})
        after = arguments.get('after', '')
        items = list(self.objects.get(kind, {}).values())
        if 'allow_stale' in arguments and self._stale:
            items = self._stale.get(kind, [])
        items = sorted(items, key=_get_name)
        items = [found for found in items if _get_name(found) > after]
        body = {
            'items': items[:_PAGE],
            'more': len(items) > _PAGE,
            'as_of': self.revision,
        }
        return _answer(200, body)

    def _post(
        self,
        kind: str,
        _name: str,
        _arguments: dict[str, str],
        request: Request,
    ) -> Answer:
        body = json.loads(request.body)
        name = body['metadata']['name']
        found = self.objects.get(kind, {}).get(name)
        if found is not None:
            return _answer(409, found)
        self.put(kind, name, body['spec'])
        return _answer(200, self.objects[kind][name])

    def _replace(
        self,
        kind: str,
        name: str,
        _arguments: dict[str, str],
        request: Request,
    ) -> Answer:
        body = json.loads(request.body)
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return _answer(404, {})
        expected = body['metadata'].get('revision')
        if expected not in {None, found['metadata']['revision']}:
            return _answer(409, found)
        self.put(kind, name, body['spec'])
        return _answer(200, self.objects[kind][name])

    def _delete(
        self,
        kind: str,
        name: str,
        _arguments: dict[str, str],
        _request: Request,
    ) -> Answer:
        self.remove(kind, name)
        return _answer(200, {})


def _get_name(found: Document) -> str:
    name: str = found['metadata']['name']
    return name


def _answer(status: int, body: Document) -> Answer:
    return Answer(status, _JSON, json.dumps(body).encode())


_CALLS: Final = {
    b'GET': StoreStandin._get,
    b'POST': StoreStandin._post,
    b'PUT': StoreStandin._replace,
    b'DELETE': StoreStandin._delete,
}
