"""Servers of the soak; they delay, refuse and abort requests at random."""

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
DELAY_MEAN_S = 0.04
REFUSAL_PROBABILITY = 0.05
ABORT_PROBABILITY = 0.05
#: Used if a mechanism is broken on purpose, so that a short soak detects it.
FREQUENT_ABORT_PROBABILITY = 0.3
FOREIGN_RESPONSE_PROBABILITY = 0.03


class SoakServer(PlatformServer):
    """Responds to each run with a unique body and records the run.

    :param name: name of the server.
    :param rng: random generator of times and faults.
    :param evidence: records the runs.
    :param is_abort_frequent: whether it aborts many responses.
    """

    def __init__(
        self,
        name,
        rng: random.Random,
        evidence: Evidence,
        *,
        is_abort_frequent=False,
    ):
        super().__init__(name)
        self.deadly = evidence.deadly
        self._abort_probability = (
            FREQUENT_ABORT_PROBABILITY
            if is_abort_frequent
            else ABORT_PROBABILITY
        )
        self._rng = rng
        self._evidence = evidence
        self._run_count = 0

    async def _serve(self, reader, writer):
        # Proxies and the end of a soak interrupt requests; ignore that.
        with suppress(asyncio.CancelledError, RuntimeError):
            await super()._serve(reader, writer)

    async def _answer(self, head, reader, writer):
        start, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        body = await reader.readexactly(int(headers.get('Content-Length', 0)))
        request_id = headers['Request-Id']
        self.rate.record_arrival(time.monotonic())
        if self._rng.random() < REFUSAL_PROBABILITY:
            writer.write(self._whole(request_id, b'', 503, 'Not-Executed: 1'))
            return
        if self.deadly.is_deadly(body):
            self.deadly.record_crash(body, time.monotonic())
            self.crash()
            return
        kind = urlsplit(start.split(' ')[1]).path.split('/')[1]
        self._run_count += 1
        run_id = f'{self.name}.{self._run_count}.{request_id}'
        make_output = (
            self._stream_output if kind == 'chat' else self._plain_output
        )
        output, tokens = make_output(request_id, run_id)
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

    def _plain_output(self, request_id, run_id):
        return [run_id.encode()], 0

    def _stream_output(self, request_id, run_id):
        events = [
            f'id: {number}\ndata: {run_id}.{number}\n\n'.encode()
            for number in range(EVENT_COUNT)
        ]
        return events, TOKENS_PER_EVENT * EVENT_COUNT

    async def _send(self, request_id, kind, output, writer):
        is_aborted = self._rng.random() < self._abort_probability
        await asyncio.sleep(self._rng.expovariate(1 / DELAY_MEAN_S))
        if kind != 'chat':
            if is_aborted:
                writer.transport.abort()
                return
            if self._rng.random() < FOREIGN_RESPONSE_PROBABILITY:
                writer.write(self._whole('another-id', b'of another request'))
            writer.write(self._whole(request_id, output[0]))
            return
        writer.write(self._stream_head(request_id))
        for event in output:
            await asyncio.sleep(self._rng.expovariate(1 / DELAY_MEAN_S))
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            if is_aborted:
                writer.transport.abort()
                return
        writer.write(b'0\r\n\r\n')
