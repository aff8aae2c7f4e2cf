"""Servers of the soak: slow, refusing, breaking off, and noting what runs."""

import asyncio
import random
import time
from contextlib import suppress
from urllib.parse import urlsplit

from tests.platform_servers import PlatformServer
from tests.platform_soak.evidence import Evidence, Run

__all__ = ('SoakServer',)

TOKENS_PER_EVENT = 9
EVENT_COUNT = 3
WORK_S = 0.04
REFUSE_SHARE = 0.05
BREAK_SHARE = 0.05
#: Where a mechanism is broken on purpose, a short run has to show it.
HARSH_BREAK_SHARE = 0.3
EXTRA_SHARE = 0.03


class SoakServer(PlatformServer):
    """Answers each run with bytes that no other run has.

    :param name: name of the server.
    :param rng: draws times and faults.
    :param evidence: notes the runs.
    :param is_harsh: whether it breaks off many answers.
    """

    def __init__(
        self, name, rng: random.Random, evidence: Evidence, *, is_harsh=False
    ):
        super().__init__(name)
        self._break_share = HARSH_BREAK_SHARE if is_harsh else BREAK_SHARE
        self._rng = rng
        self._evidence = evidence
        self._run_count = 0

    async def _serve(self, reader, writer):
        # A proxy or the end of a soak cuts requests off, which is no finding.
        with suppress(asyncio.CancelledError, RuntimeError):
            await super()._serve(reader, writer)

    async def _answer(self, head, reader, writer):
        start, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        body = await reader.readexactly(int(headers.get('Content-Length', 0)))
        request_id = headers['Request-Id']
        if self._rng.random() < REFUSE_SHARE:
            writer.write(self._whole(request_id, b'', 503, 'Not-Executed: 1'))
            return
        kind = urlsplit(start.split(' ')[1]).path.split('/')[1]
        self._run_count += 1
        mark = f'{self.name}.{self._run_count}.{request_id}'
        serve = self._stream if kind == 'chat' else self._plain
        output, tokens = serve(request_id, mark)
        self._evidence.runs.append(
            Run(
                request_id=request_id,
                kind='turn' if kind == 'chat' else kind,
                began_s=time.monotonic(),
                body=body,
                workspace=headers.get('Tenant', ''),
                program_id=headers.get('Program-Id', ''),
                tokens=tokens,
                output=b''.join(output),
            ),
        )
        await self._send(request_id, kind, output, writer)

    def _plain(self, request_id, mark):
        return [mark.encode()], 0

    def _stream(self, request_id, mark):
        events = [
            f'id: {number}\ndata: {mark}.{number}\n\n'.encode()
            for number in range(EVENT_COUNT)
        ]
        return events, TOKENS_PER_EVENT * EVENT_COUNT

    async def _send(self, request_id, kind, output, writer):
        is_broken = self._rng.random() < self._break_share
        await asyncio.sleep(self._rng.expovariate(1 / WORK_S))
        if kind != 'chat':
            if is_broken:
                writer.transport.abort()
                return
            if self._rng.random() < EXTRA_SHARE:
                writer.write(self._whole('another-id', b'of another request'))
            writer.write(self._whole(request_id, output[0]))
            return
        writer.write(self._stream_head(request_id))
        for event in output:
            await asyncio.sleep(self._rng.expovariate(1 / WORK_S))
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            if is_broken:
                writer.transport.abort()
                return
        writer.write(b'0\r\n\r\n')
