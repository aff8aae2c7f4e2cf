"""Stand-in of servers that a certain request crashes."""

import asyncio
import time

from servers import Run, Server

#: Time from the start of work on a deadly request to the crash.
RUN_S = 0.1
#: Time until a crashed server is back.
DOWN_S = 2.5


class FrailServer(Server):
    """Crashes when it runs a request on ``/app/deadly``; is back later.

    ``crashes`` collects the time in monotonic seconds of each crash.
    """

    def __init__(self, name, record, store, crashes, is_frail):
        super().__init__(name, record)
        self._store = store
        self._crashes = crashes
        self._is_frail = is_frail
        self._writers = set()
        self._is_down = False

    async def start(self, host):
        """Listen; return the port."""
        port = await super().start(host)
        self._address = host, port
        return port

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(self, head, reader, writer):
        if not (self._is_frail and ' /app/deadly ' in head):
            await super()._answer(head, reader, writer)
            return
        headers = {}
        for line in head.strip().split('\r\n')[1:]:
            name, _, content = line.partition(':')
            headers[name.lower()] = content.strip()
        body = await reader.readexactly(int(headers['content-length']))
        request_id = headers['request-id']
        self.runs.append(
            Run(
                request_id,
                '/app/deadly',
                headers,
                len(body),
                '',
                time.monotonic(),
            )
        )
        self._record.write(f'run {request_id} at {self.name}, deadly')
        await asyncio.sleep(RUN_S)
        self._crash()

    def _crash(self):
        if self._is_down:
            return
        self._is_down = True
        self._crashes.append(time.monotonic())
        self._record.write(f'crash of {self.name}')
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._restart_task = asyncio.create_task(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(DOWN_S)
        host, port = self._address
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )
        self._is_down = False
        entry = dict(self._store.get('servers', self.name)['spec'])
        entry['born'] = int(time.time() * 1000)
        entry['sequence'] += 1
        self._store.put('servers', self.name, entry)
        self._record.write(f'{self.name} is back')
