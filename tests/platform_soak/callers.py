"""Callers of the soak: run programs of turns and calls, on keep-alive HTTP."""

import asyncio
import itertools
import random
import time

import aiohttp

from tests.platform_fleet import KEY
from tests.platform_soak.crashes import CRASHING_SERVICE
from tests.platform_soak.evidence import Evidence, ResponseRecord

__all__ = ('Caller',)

DEADLINE_S = 3.0
TURNS_MAX = 6
#: Mean time between two turns.
TURN_INTERVAL_MEAN_S = 0.05
#: Share of the calls of programs that go to servers that crash.
FRAIL_PROBABILITY = 0.2
#: Numbers of turns that a token budget allows; one is drawn per program.
BUDGET_TURNS = (1, 3, 6)
#: Delay after a program or a failed connection, which limits the request rate
#: when requests fail at once.
RETRY_DELAY_S = 0.1


class Caller:
    """Runs programs one after the other until it is cancelled.

    :param number: number of the caller, part of its request ids.
    :param rng: random generator of its requests.
    :param urls: base URLs of the gateways; each request draws one.
    :param evidence: records requests, budgets and responses.
    """

    def __init__(self, number, rng: random.Random, urls, evidence: Evidence):
        self._rng = rng
        self._urls = urls
        self._evidence = evidence
        self._ids = (f'c{number}-{index}' for index in itertools.count())

    async def run(self):
        """Run programs until cancelled, on one HTTP session."""
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while True:
                await self._run_program(session)

    async def send_once(self, path, body):
        """Send one unsafe request with this body on a new connection."""
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            await self._send_request(session, 'deadly', path, '', body=body)

    async def _run_program(self, session):
        program = f'p-{next(self._ids)}'
        turns = self._rng.choice(BUDGET_TURNS)
        budget = self._evidence.turn_tokens_max * turns
        self._evidence.budgets[program] = budget
        previous = ''
        for _ in range(self._rng.randint(1, TURNS_MAX)):
            tool = self._rng.choice(('look', 'book'))
            if self._rng.random() < FRAIL_PROBABILITY:
                tool = CRASHING_SERVICE
            await self._send_request(session, tool, f'/{tool}/x', program)
            turn = await self._send_turn(session, program, previous, budget)
            if turn.status != 200:
                break
            previous = turn.request_id
            await asyncio.sleep(self._rng.expovariate(1 / TURN_INTERVAL_MEAN_S))
        await asyncio.sleep(RETRY_DELAY_S)

    async def _send_turn(self, session, program, previous, budget):
        extra_headers = {
            'Token-Budget': str(budget),
            'Token-Usage': f'100,{self._evidence.turn_tokens_max}',
        }
        if previous:
            extra_headers['Previous-Turn'] = previous
        return await self._send_request(
            session, 'turn', '/chat/x', program, previous, extra_headers
        )

    async def _send_request(
        self,
        session,
        kind,
        path,
        program,
        previous='',
        extra_headers=(),
        body=b'',
    ):
        request_id = next(self._ids)
        self._evidence.sent.add(request_id)
        prompt = f'[{request_id}]'.encode() if kind != 'look' else b''
        prompt = body or prompt
        headers = {
            'Host': 'farm.example',
            'Request-Id': request_id,
            'Deadline-Ms': str(int(DEADLINE_S * 1000)),
            'X-Api-Key': KEY,
            'Program-Id': program,
            **dict(extra_headers),
        }
        status, received = 0, b''
        method = 'GET' if kind == 'look' else 'POST'
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                async with session.request(
                    method,
                    self._rng.choice(self._urls) + path,
                    data=prompt,
                    headers=headers,
                ) as response:
                    received = await response.read()
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            await asyncio.sleep(RETRY_DELAY_S)
        record = ResponseRecord(
            request_id=request_id,
            kind=kind,
            ended_s=time.monotonic(),
            status=status,
            body=received,
            previous_id=previous,
            prompt=prompt,
            program_id=program,
        )
        self._evidence.responses.append(record)
        return record
