"""A stand-in of the platform's metadata store."""

import asyncio
import json
from urllib.parse import parse_qs, unquote

from standins.http import read_message, write_message

PREFIX = '/toucanhall/objects/'
PAGE_ITEMS = 500


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, kind, name, spec):
        """Write the content of an object, as operators and backends do."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        created = known['metadata']['create_revision'] if known else self.revision
        entry = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind][name] = entry
        self.record(kind, entry, deleted=False)
        return entry

    def remove(self, kind, name):
        """Remove an object, if there is one."""
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            self.record(kind, entry, deleted=True)
        return entry

    def record(self, kind, entry, *, deleted):
        self.events.append(
            (self.revision, kind, {'object': entry, 'deleted': deleted})
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status, body = await self.answer(request)
                content = json.dumps(body).encode()
                headers = [('Content-Type', 'application/json')]
                await write_message(
                    writer, f'HTTP/1.1 {status} Status', headers, content
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.first_line.split(' ', 2)
        path, _, query = target.partition('?')
        kind, _, name = path.removeprefix(PREFIX).partition('/')
        name = unquote(name)
        fields = {key: found[0] for key, found in parse_qs(query).items()}
        if method == 'GET' and 'watch' in fields:
            return await self.watch(kind, fields)
        if method == 'GET':
            return self.read(kind, name, fields)
        if method == 'DELETE':
            entry = self.remove(kind, name)
            return (200, entry) if entry else (404, {})
        body = json.loads(request.body)
        if method == 'POST':
            name = body['metadata']['name']
            known = self.objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            return 200, self.put(kind, name, body['spec'])
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return 404, {}
        wanted = body.get('metadata', {}).get('revision')
        if wanted not in {None, known['metadata']['revision']}:
            return 409, known
        return 200, self.put(kind, name, body['spec'])

    def read(self, kind, name, fields):
        by_name = self.objects.get(kind, {})
        if name:
            return (200, by_name[name]) if name in by_name else (404, {})
        after = fields.get('after', '')
        names = sorted(found for found in by_name if found > after)
        return 200, {
            'items': [by_name[found] for found in names[:PAGE_ITEMS]],
            'more': len(names) > PAGE_ITEMS,
            'as_of': self.revision,
        }

    async def watch(self, kind, fields):
        since = int(fields['watch'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(fields.get('wait_ms', '0')) / 1000
        while True:
            found = [
                event
                for revision, changed, event in self.events
                if changed == kind and revision > since
            ]
            if found or loop.time() >= until:
                return 200, {'events': found, 'as_of': self.revision}
            try:
                await asyncio.wait_for(
                    self.changed.wait(), until - loop.time()
                )
            except TimeoutError:
                continue
