"""Stand-in engine and plain service for the features of endpoint clients."""

import asyncio
import time

from aiohttp import web

from rattanvalve.standins.limits import StatedRate

EVENTS = (
    b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n',
    b'data: {"choices": [], "usage": {"prompt_tokens": 7,'
    b' "completion_tokens": 3,'
    b' "prompt_tokens_details": {"cached_tokens": 5}}}\n\n',
    b'data: [DONE]\n\n',
)


class FakeServer:
    """Records requests; those to ``/held`` wait for ``release``."""

    def __init__(self):
        self.journal = []
        self.rate = StatedRate()
        self.release = asyncio.Event()
        self.seen = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def handle(self, request):
        """Serve any request; the path selects the response or fault."""
        self.journal.append((request.method, request.raw_path, request.headers))
        self.rate.record_arrival(time.monotonic())
        self.seen.set()
        if request.path == '/break':
            await request.read()
            request.transport.abort()
        if request.path == '/crash':
            await request.read()
            await self.site.stop()
            request.transport.abort()
        if request.path == '/held':
            await self._wait()
        if request.path != '/v1/chat/completions':
            return web.Response(
                body=b'plain', status=201, headers=self.rate.headers()
            )
        response = web.StreamResponse(headers=self.rate.headers())
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        for event in EVENTS:
            await response.write(event)
        return response

    async def start(self):
        """Listen on a free port and return the base URL."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self.handle)
        self.runner = web.AppRunner(app, handler_cancellation=True)
        await self.runner.setup()
        await self.listen(0)
        self.port = self.runner.addresses[0][1]
        return f'http://127.0.0.1:{self.port}'

    async def listen(self, port):
        """Listen on a port, also again after a crash."""
        self.site = web.TCPSite(
            self.runner, '127.0.0.1', port, shutdown_timeout=0
        )
        await self.site.start()

    async def _wait(self):
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
