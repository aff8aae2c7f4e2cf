"""Stand-in of the platform's store: a sound one, in form ``objects``."""

import asyncio
import json

from aiohttp import web

#: Time that an answer takes.
ANSWER_S = 0.004
PAGE_COUNT = 500


class PlatformStore:
    """Objects by kind and name, with one counter of revisions."""

    def __init__(self):
        self._objects = {}
        self._revision = 10
        self._history = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, as the operator or a server does."""
        self._revision += 1
        former = self._objects.get((kind, name))
        created = former['metadata']['created'] if former else self._revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': former['status'] if former else None,
        }
        self._keep(kind, name, stored)
        return stored

    def get(self, kind, name):
        return self._objects.get((kind, name))

    def names(self, kind):
        return sorted(name for known, name in self._objects if known == kind)

    def remove(self, kind, name):
        """Remove an object."""
        self._revision += 1
        stored = self._objects.pop((kind, name))
        self._history.append((kind, self._revision, _event(stored, True)))
        self._notify()

    async def start(self, host):
        """Listen; return the address as ``HOST:PORT``."""
        app = web.Application()
        app.router.add_get('/objects/{kind}', self._read)
        app.router.add_get('/objects/{kind}/{name}', self._read_one)
        app.router.add_post('/objects/{kind}', self._create)
        app.router.add_put('/objects/{kind}/{name}', self._replace)
        app.router.add_put('/objects/{kind}/{name}/status', self._write_status)
        app.router.add_delete('/objects/{kind}/{name}', self._delete)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0, shutdown_timeout=0)
        await site.start()
        return f'{host}:{self._runner.addresses[0][1]}'

    async def stop(self):
        await self._runner.cleanup()

    async def _read(self, request):
        await asyncio.sleep(ANSWER_S)
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(request, kind)
        after = request.query.get('after', '')
        rest = [name for name in self.names(kind) if name > after]
        page = [self._objects[kind, name] for name in rest[:PAGE_COUNT]]
        return web.json_response(
            {
                'items': page,
                'hasMore': len(rest) > PAGE_COUNT,
                'storeRevision': self._revision,
            }
        )

    async def _read_one(self, request):
        await asyncio.sleep(ANSWER_S)
        stored = self._objects.get(_key(request))
        return web.json_response(stored, status=200 if stored else 404)

    async def _watch(self, request, kind):
        since = int(request.query['watch'])
        wait_s = int(request.query.get('waitMs', 0)) / 1000
        until_s = asyncio.get_running_loop().time() + wait_s
        while not self._events(kind, since):
            changed = self._changed
            remaining_s = until_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                break
        return web.json_response(
            {
                'events': self._events(kind, since),
                'storeRevision': self._revision,
            }
        )

    async def _create(self, request):
        body = await request.json()
        await asyncio.sleep(ANSWER_S)
        kind, name = request.match_info['kind'], body['metadata']['name']
        known = self._objects.get((kind, name))
        if known is not None:
            return web.json_response(known, status=409)
        return web.json_response(self.put(kind, name, body.get('spec')))

    async def _replace(self, request):
        body = await request.json()
        await asyncio.sleep(ANSWER_S)
        kind, name = _key(request)
        known = self._objects.get((kind, name))
        if known is None:
            return web.json_response({}, status=404)
        if _is_outdated(body['metadata'].get('revision'), known):
            return web.json_response(known, status=409)
        if known['spec'] == body['spec']:
            return web.json_response(known)
        return web.json_response(self.put(kind, name, body['spec']))

    async def _write_status(self, request):
        body = await request.json()
        await asyncio.sleep(ANSWER_S)
        kind, name = _key(request)
        known = self._objects.get((kind, name))
        if known is None:
            return web.json_response({}, status=404)
        if _is_outdated(body.get('metadata', {}).get('revision'), known):
            return web.json_response(known, status=409)
        if known['status'] != body['status']:
            self._revision += 1
            stored = json.loads(json.dumps(known))
            stored['status'] = body['status']
            stored['metadata']['revision'] = self._revision
            self._keep(kind, name, stored)
        return web.json_response(self._objects[kind, name])

    async def _delete(self, request):
        await asyncio.sleep(ANSWER_S)
        kind, name = _key(request)
        known = self._objects.get((kind, name))
        if known is None:
            return web.json_response({}, status=404)
        if _is_outdated(request.query.get('revision'), known):
            return web.json_response(known, status=409)
        self.remove(kind, name)
        return web.json_response({})

    def _keep(self, kind, name, stored):
        self._objects[kind, name] = stored
        self._history.append((kind, self._revision, _event(stored, False)))
        self._notify()

    def _events(self, kind, since):
        return [
            event
            for known, revision, event in self._history
            if known == kind and revision > since
        ]

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


def _key(request):
    return request.match_info['kind'], request.match_info['name']


def _is_outdated(revision, known):
    if revision in (None, ''):
        return False
    return int(revision) != known['metadata']['revision']


def _event(stored, is_removed):
    return {'object': json.loads(json.dumps(stored)), 'removed': is_removed}
