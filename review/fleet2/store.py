"""Stand-in for the platform's metadata store."""

import asyncio
import json
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

from fleet2.http import encode_answer, read_request

PAGE_COUNT = 500
ANSWER_DELAY_S = 0.004


class MetadataStore:
    """Objects by kind and name, with lists, watches and conditional writes."""

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self.revision = 10
        self.written_s = 0.0

    async def start(self, host, port):
        """Listen for the programs."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, kind, name, spec):
        """Write an object as the operator or a server does.

        A write that changes nothing raises no revision.
        """
        known = self._objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        metadata = {
            'name': name,
            'revision': self.revision,
            'created': known['metadata']['created'] if known else self.revision,
            'finalizers': [],
            'deleting': False,
        }
        status = known['status'] if known else None
        stored = {'metadata': metadata, 'spec': spec, 'status': status}
        self._objects[kind, name] = stored
        self._add_event(kind, stored, removed=False)
        return stored

    def remove(self, kind, name):
        """Remove an object; no effect if there is none."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, removed=True)

    def _add_event(self, kind, stored, *, removed):
        event = {'object': json.loads(json.dumps(stored)), 'removed': removed}
        self._history.append((kind, self.revision, event))
        self.written_s = time.monotonic()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                await asyncio.sleep(ANSWER_DELAY_S)
                status, content = await self._answer(request)
                body = json.dumps(content).encode()
                writer.write(
                    encode_answer(status, body, Content_Type='application/json')
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        url = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        _, _, kind, *rest = url.path.split('/')
        if request.method == 'GET':
            return await self._read(kind, rest, query)
        sent = json.loads(request.body) if request.body else {}
        name = rest[0] if rest else sent['metadata']['name']
        known = self._objects.get((kind, name))
        self._record.write(
            'store write', call=f'{request.method} {url.path}', name=name
        )
        if request.method == 'POST':
            if known is not None:
                return 409, known
            return 200, self.put(kind, name, sent['spec'])
        if known is None:
            return 404, {}
        wanted = query.get('revision') or sent.get('metadata', {}).get('revision')
        if wanted and int(wanted) != known['metadata']['revision']:
            return 409, known
        if request.method == 'DELETE':
            self.remove(kind, name)
            return 200, {}
        if rest[1:] == ['status']:
            known['status'] = sent['status']
            return 200, known
        return 200, self.put(kind, name, sent['spec'])

    async def _read(self, kind, rest, query):
        if rest:
            known = self._objects.get((kind, rest[0]))
            return (404, {}) if known is None else (200, known)
        if 'watch' in query:
            return await self._watch(kind, query)
        names = sorted(name for known, name in self._objects if known == kind)
        names = [name for name in names if name > query.get('after', '')]
        return 200, {
            'items': [self._objects[kind, name] for name in names[:PAGE_COUNT]],
            'hasMore': len(names) > PAGE_COUNT,
            'storeRevision': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])

        def events():
            return [
                event
                for known, revision, event in self._history
                if known == kind and revision > since
            ]

        with suppress(TimeoutError):
            async with asyncio.timeout(int(query.get('waitMs', 0)) / 1000):
                while not events():
                    await self._changed.wait()
        return 200, {'events': events(), 'storeRevision': self.revision}
