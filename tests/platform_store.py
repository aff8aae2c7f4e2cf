"""Stand-in for the platform's object store, with faults to inject."""

import asyncio
import json
from contextlib import suppress

from aiohttp import web

PAGE_COUNT = 2
REFUSED = 503


class PlatformStore:
    """Objects by kind and name; lists are paged by two objects."""

    def __init__(self):
        self.stored = {}
        self.revision = 5
        #: IP addresses of clients that get status 503.
        self.refused_hosts = set()
        #: Kinds whose objects cannot be created or replaced; status 503.
        self.refused_kinds = set()
        #: JSON text by the string that stands for it in a stored object.
        self.raw_texts = {}
        #: Number of upcoming writes that take effect without a response.
        self.lost_answers = 0
        self.call_count = 0
        self._history = []
        self._first_revision = 0
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object unconditionally, as an operator or a server does."""
        self.revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self.stored[kind, name] = stored
        self._record_event(kind, stored, is_removed=False)

    def put_text(self, kind, name, text):
        """Write an object whose content is JSON text that is sent as it is."""
        mark = f'raw text {len(self.raw_texts)}'
        self.raw_texts[f'"{mark}"'] = text
        self.put(kind, name, mark)

    def remove(self, kind, name):
        """Remove an object that exists, whatever its revision."""
        self.revision += 1
        stored = self.stored.pop((kind, name))
        self._record_event(kind, stored, is_removed=True)

    def drop_history(self):
        """Drop the change history: watches of older revisions get 410."""
        self._history.clear()
        self._first_revision = self.revision
        self._notify_watches()

    async def start(self, host='127.0.0.1'):
        """Listen; return the address as ``HOST:PORT``."""
        app = web.Application()
        app.router.add_route('*', '/objects/{kind}', self._serve)
        app.router.add_route('*', '/objects/{kind}/{name}', self._serve)
        app.router.add_route(
            'PUT', '/objects/{kind}/{name}/status', self._write_status
        )
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0, shutdown_timeout=0)
        await site.start()
        return f'{host}:{self._runner.addresses[0][1]}'

    async def stop(self):
        """Stop listening and close all connections."""
        await self._runner.cleanup()

    async def _write_status(self, request):
        key = request.match_info['kind'], request.match_info['name']
        if key not in self.stored:
            return web.json_response({}, status=404)
        body = await request.json()
        self.stored[key]['status'] = body['status']
        return web.json_response(self.stored[key])

    async def _serve(self, request):
        self.call_count += 1
        if request.remote in self.refused_hosts:
            return web.Response(status=REFUSED)
        handlers = {
            'GET': self._read,
            'POST': self._write,
            'PUT': self._write,
            'DELETE': self._delete,
        }
        response = await handlers[request.method](request)
        if request.method != 'GET' and self.lost_answers:
            self.lost_answers -= 1
            request.transport.abort()
        return response

    async def _read(self, request):
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(request, kind)
        after = request.query.get('after', '')
        names = sorted(name for known, name in self.stored if known == kind)
        rest = [name for name in names if name > after]
        page = [self.stored[kind, name] for name in rest[:PAGE_COUNT]]
        return self._json_response(
            {
                'items': page,
                'hasMore': len(rest) > PAGE_COUNT,
                'storeRevision': self.revision,
            },
        )

    def _json_response(self, content):
        text = json.dumps(content)
        for mark, raw_text in self.raw_texts.items():
            text = text.replace(mark, raw_text)
        return web.Response(text=text, content_type='application/json')

    async def _watch(self, request, kind):
        since = int(request.query['watch'])
        with suppress(TimeoutError):
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                while not self._events(kind, since):
                    if since < self._first_revision:
                        return web.Response(status=410)
                    await self._changed.wait()
        events = self._events(kind, since)
        return self._json_response(
            {'events': events, 'storeRevision': self.revision},
        )

    async def _write(self, request):
        body = await request.json()
        kind, name = request.match_info['kind'], body['metadata']['name']
        if kind in self.refused_kinds:
            return web.Response(status=REFUSED)
        stored = self.stored.get((kind, name))
        wanted = body['metadata'].get('revision')
        is_create = request.method == 'POST'
        if is_create == (stored is not None):
            return web.json_response(stored, status=409)
        if wanted and wanted != stored['metadata']['revision']:
            return web.json_response(stored, status=409)
        self.put(kind, name, body['spec'])
        return web.json_response(self.stored[kind, name])

    async def _delete(self, request):
        key = request.match_info['kind'], request.match_info['name']
        if key not in self.stored:
            return web.Response(status=404)
        self.remove(*key)
        return web.json_response({})

    def _events(self, kind, since):
        return [
            event
            for event_kind, revision, event in self._history
            if event_kind == kind and revision > since
        ]

    def _record_event(self, kind, stored, is_removed):
        event = {
            'object': json.loads(json.dumps(stored)),
            'removed': is_removed,
        }
        self._history.append((kind, self.revision, event))
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()
