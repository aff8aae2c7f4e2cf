"""Callers of the soak: programs of turns and calls, on kept connections."""

import asyncio
import itertools
import random
import time

import aiohttp

from tests.platform_fleet import KEY
from tests.platform_soak.evidence import Answer, Evidence

__all__ = ('Caller',)

DEADLINE_S = 3.0
TURNS_MAX = 6
PAUSE_S = 0.05
#: Turns that the budgets of programs allow.
BUDGET_TURNS = (1, 3, 6)
#: Shortest time between two requests of a caller that is refused at once.
RETRY_S = 0.1


class Caller:
    """Runs programs one after the other until it is cancelled.

    :param number: number of the caller.
    :param rng: draws what it does.
    :param urls: addresses of the gateways.
    :param evidence: notes the answers.
    """

    def __init__(self, number, rng: random.Random, urls, evidence: Evidence):
        self._rng = rng
        self._urls = urls
        self._evidence = evidence
        self._ids = (f'c{number}-{index}' for index in itertools.count())

    async def run(self):
        """Run programs."""
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while True:
                await self._program(session)

    async def _program(self, session):
        program = f'p-{next(self._ids)}'
        turns = self._rng.choice(BUDGET_TURNS)
        budget = self._evidence.turn_tokens_max * turns
        self._evidence.budgets[program] = budget
        previous = ''
        for _ in range(self._rng.randint(1, TURNS_MAX)):
            tool = self._rng.choice(('look', 'book'))
            await self._request(session, tool, f'/{tool}/x', program)
            turn = await self._turn(session, program, previous, budget)
            if turn.status != 200:
                break
            previous = turn.request_id
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
        await asyncio.sleep(RETRY_S)

    async def _turn(self, session, program, previous, budget):
        more = {
            'Token-Budget': str(budget),
            'Token-Usage': f'100,{self._evidence.turn_tokens_max}',
        }
        if previous:
            more['Previous-Turn'] = previous
        return await self._request(
            session, 'turn', '/chat/x', program, previous, more
        )

    async def _request(
        self, session, kind, path, program, previous='', more=()
    ):
        request_id = next(self._ids)
        self._evidence.sent.add(request_id)
        prompt = f'[{request_id}]'.encode() if kind != 'look' else b''
        headers = {
            'Host': 'farm.example',
            'Request-Id': request_id,
            'Deadline-Ms': str(int(DEADLINE_S * 1000)),
            'X-Api-Key': KEY,
            'Program-Id': program,
            **dict(more),
        }
        status, body = 0, b''
        method = 'GET' if kind == 'look' else 'POST'
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                async with session.request(
                    method,
                    self._rng.choice(self._urls) + path,
                    data=prompt,
                    headers=headers,
                ) as response:
                    body = await response.read()
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            await asyncio.sleep(RETRY_S)
        answer = Answer(
            request_id=request_id,
            kind=kind,
            ended_s=time.monotonic(),
            status=status,
            body=body,
            previous_id=previous,
            prompt=prompt,
            program_id=program,
        )
        self._evidence.answers.append(answer)
        return answer
