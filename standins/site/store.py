"""A stand-in for the platform's store: objects, watches and faults."""

import asyncio
import copy
import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs, unquote

from toucanhall.web.buffer_budget import BufferBudget
from toucanhall.web.messages import Answer, Request, make_error_answer
from toucanhall.web.server import Connection, Handler, ServerLimits

__all__ = ('StoreCopy', 'StoreStandin')

_PREFIX: Final = '/toucanhall/objects/'
_MAX_PAGE_ITEMS: Final = 500
_SERVER_LIMITS: Final = ServerLimits(65536, 1 << 21, 10.0, 60.0)
_MAX_BUFFERED_BYTES: Final = 1 << 26
_MAX_CONNECTIONS: Final = 1000
_CONTENT_TYPE: Final = (b'content-type', b'application/json')
_ERA_HEADER: Final = b'store-era'
_REWRITTEN_KINDS: Final = ('config', 'servers', 'evacuations')

Document = dict[str, Any]
DecideFault = Callable[[Request], str | int | None]


class _Event(NamedTuple):
    revision: int
    kind: str
    content: Document


class StoreCopy(NamedTuple):
    """What a store held at a revision."""

    revision: int
    objects: dict[str, dict[str, Document]]
    events: list[_Event]


class StoreStandin:
    """Holds objects by kind and name, with one revision counter for all.

    The era, a header of all answers, rises when the store comes back from a
    copy: revisions after the copy are then given out again.

    `decide_fault` is called with each request. It returns a status to answer
    with, 'silent' to ignore the request, 'lost' to execute it without an
    answer, or None for no fault.
    """

    def __init__(self) -> None:
        """Hold no objects and inject no faults at first."""
        self.revision = 1
        self.era = 1
        self.objects: dict[str, dict[str, Document]] = {}
        self.decide_fault: DecideFault = lambda _request: None
        self.calls: list[str] = []
        # Strings of objects that answers replace by other bytes.
        self.raw_specs: dict[str, bytes] = {}
        self._events: list[_Event] = []
        self._oldest_revision = 1
        self._changed = asyncio.Event()
        self._stale_objects: dict[str, list[Document]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen for requests."""
        handler = Handler(
            serve=self._serve,
            answer_error=make_error_answer,
            is_cancellable=lambda _request: True,
            get_limits=lambda: _SERVER_LIMITS,
            is_stopping=lambda: False,
            is_lagging=lambda: False,
            connections=set(),
            buffer_budget=BufferBudget(max_bytes=_MAX_BUFFERED_BYTES),
            max_connections=_MAX_CONNECTIONS,
        )
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(handler=handler),
            host,
            port,
        )

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object, as operators and targets do; return the revision.

        An object whose spec is unchanged keeps its revision.
        """
        stored = self.objects.setdefault(kind, {}).get(name)
        if stored is not None and stored['spec'] == spec:
            return self.revision
        self.revision += 1
        create_revision = (
            stored['metadata']['create_revision'] if stored else None
        )
        self.objects[kind][name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': create_revision or self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._append_event(kind, self.objects[kind][name], is_deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._append_event(kind, stored, is_deleted=True)

    def set_fault(self, fault: DecideFault) -> None:
        """Inject faults into new requests and into watches that wait."""
        self.decide_fault = fault
        self._wake_watches()

    def compact(self) -> None:
        """Discard the history; watches from before it are answered 410."""
        self._events = []
        self._oldest_revision = self.revision + 1
        self._wake_watches()

    def make_copy(self) -> StoreCopy:
        """Return a copy of what the store holds."""
        return StoreCopy(
            revision=self.revision,
            objects=copy.deepcopy(self.objects),
            events=list(self._events),
        )

    def restore(self, stored: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone.

        A watch from a revision after the copy is answered 410.
        """
        self.era += 1
        self.revision = stored.revision
        self.objects = copy.deepcopy(stored.objects)
        self._events = list(stored.events)
        self._wake_watches()

    def write_again(self, stored: StoreCopy, lost: StoreCopy) -> None:
        """Write what the store lost, as operators and targets do.

        `stored` is the copy that it came back from, `lost` what it held before.
        What was written after its return stays; entries of VMs are not written.
        """
        for kind in _REWRITTEN_KINDS:
            current = self.objects.setdefault(kind, {})
            kept = {
                name
                for name, found in current.items()
                if found['metadata']['revision'] > stored.revision
            }
            wanted = lost.objects.get(kind, {})
            for name in current.keys() - wanted.keys() - kept:
                self.remove(kind, name)
            for name in wanted.keys() - kept:
                self.put(kind, name, wanted[name]['spec'])

    def freeze_stale_reads(self) -> None:
        """Answer reads that allow stale data by what the store holds now."""
        self._stale_objects = {
            kind: list(by_name.values())
            for kind, by_name in self.objects.items()
        }

    def _append_event(
        self, kind: str, stored: Document, *, is_deleted: bool
    ) -> None:
        content = {'deleted': is_deleted, 'object': stored}
        self._events.append(_Event(self.revision, kind, content))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request: Request) -> Answer:
        answer = await self._answer(request)
        era = (_ERA_HEADER, b'%d' % self.era)
        body = answer.body
        for text, raw in self.raw_specs.items():
            body = body.replace(json.dumps(text).encode(), raw)
        return answer._replace(headers=(*answer.headers, era), body=body)

    async def _answer(self, request: Request) -> Answer:
        path, _, query = request.path.decode().partition('?')
        self.calls.append(f'{request.method.decode()} {path}')
        fault = self.decide_fault(request)
        if isinstance(fault, int):
            return _make_answer(fault, {})
        if fault == 'silent':
            await asyncio.Event().wait()
        kind, _, name = path.removeprefix(_PREFIX).partition('/')
        arguments = {key: values[0] for key, values in parse_qs(query).items()}
        if request.method == b'GET' and 'watch' in arguments:
            return await self._watch(kind, arguments, request)
        answer = _HANDLERS[request.method](
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
        since_revision = int(arguments['watch'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(arguments['wait_ms']) / 1000
        while True:
            fault = self.decide_fault(request)
            if isinstance(fault, int):
                return _make_answer(fault, {})
            is_unknown = since_revision > self.revision
            if is_unknown or since_revision + 1 < self._oldest_revision:
                return _make_answer(410, {})
            events = [
                event.content
                for event in self._events
                if event.kind == kind and event.revision > since_revision
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                body = {'events': events, 'as_of': self.revision}
                return _make_answer(200, body)
            try:
                async with asyncio.timeout(remaining):
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
            stored = self.objects.get(kind, {}).get(name)
            return (
                _make_answer(200, stored) if stored else _make_answer(404, {})
            )
        after = arguments.get('after', '')
        items = list(self.objects.get(kind, {}).values())
        if 'allow_stale' in arguments and self._stale_objects:
            items = self._stale_objects.get(kind, [])
        items = sorted(items, key=_get_name)
        items = [stored for stored in items if _get_name(stored) > after]
        body = {
            'items': items[:_MAX_PAGE_ITEMS],
            'more': len(items) > _MAX_PAGE_ITEMS,
            'as_of': self.revision,
        }
        return _make_answer(200, body)

    def _post(
        self,
        kind: str,
        _name: str,
        _arguments: dict[str, str],
        request: Request,
    ) -> Answer:
        body = json.loads(request.body)
        name = body['metadata']['name']
        stored = self.objects.get(kind, {}).get(name)
        if stored is not None:
            return _make_answer(409, stored)
        self.put(kind, name, body['spec'])
        return _make_answer(200, self.objects[kind][name])

    def _replace(
        self,
        kind: str,
        name: str,
        _arguments: dict[str, str],
        request: Request,
    ) -> Answer:
        body = json.loads(request.body)
        stored = self.objects.get(kind, {}).get(name)
        if stored is None:
            return _make_answer(404, {})
        expected = body['metadata'].get('revision')
        if expected not in {None, stored['metadata']['revision']}:
            return _make_answer(409, stored)
        self.put(kind, name, body['spec'])
        return _make_answer(200, self.objects[kind][name])

    def _delete(
        self,
        kind: str,
        name: str,
        _arguments: dict[str, str],
        _request: Request,
    ) -> Answer:
        self.remove(kind, name)
        return _make_answer(200, {})


def _get_name(stored: Document) -> str:
    name: str = stored['metadata']['name']
    return name


def _make_answer(status: int, body: Document) -> Answer:
    return Answer(status, (_CONTENT_TYPE,), json.dumps(body).encode())


_HANDLERS: Final = {
    b'GET': StoreStandin._get,
    b'POST': StoreStandin._post,
    b'PUT': StoreStandin._replace,
    b'DELETE': StoreStandin._delete,
}
