"""Stand-in for a server that is too busy to accept connections."""

import asyncio
import socket

from tests.platform_servers import PlatformServer

__all__ = ('BusyServer',)

#: Connections that fill the queue of a listener with a backlog of 0.
FILLING_COUNT = 4


class BusyServer(PlatformServer):
    """Serves one connection; the kernel drops all others."""

    async def start(self):
        """Listen; return the address as ``HOST:PORT``."""
        self._listener = socket.socket()
        self._listener.setblocking(False)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(0)
        self._filling = []
        self._task = asyncio.ensure_future(self._serve_one())
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        return self.address

    def is_down(self):
        """Return false, as it does not crash."""
        return False

    async def stop(self):
        """Stop listening and close the connections."""
        self._task.cancel()
        self._listener.close()
        for filling in self._filling:
            filling.close()

    async def _serve_one(self):
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._listener)
        for _ in range(FILLING_COUNT):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(self._listener.getsockname())
            self._filling.append(filling)
        reader, writer = await asyncio.open_connection(sock=connection)
        await self._serve(reader, writer)
