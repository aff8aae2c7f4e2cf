"""Stand-in of a consumer: sends turns of agent programs, one at a time."""

import time
from dataclasses import dataclass

import aiohttp

_numbers = iter(range(1, 1 << 40))
#: Tokens that each event of a stream counts for, as the desired state says.
EVENT_TOKENS = 9


@dataclass
class Answer:
    """What a consumer has seen of one attempt; status 0: closed channel."""

    request_id: str
    status: int
    body: bytes
    is_whole: bool
    sent_s: float
    ended_s: float

    @property
    def is_served(self):
        return self.status == 200 and self.is_whole

    @property
    def tokens(self):
        """Return the tokens that were handed to the consumer."""
        return self.body.count(b'\n\n') * EVENT_TOKENS


class Callers:
    """Sends requests, and records each with its answer."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._record = deployment.record
        self._session = None
        #: Monotonic time in seconds at which each request was sent, by id.
        self.sent_s = {}

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        return self

    async def __aexit__(self, *error):
        await self._session.close()

    async def turn(
        self,
        front,
        program,
        body=b'input',
        previous='',
        budget=None,
        max_tokens=36,
        deadline_ms=4000,
        path='/chat/turn',
        prompt_tokens=600,
    ):
        """Send a turn as one attempt, with an id of its own."""
        headers = {
            'Program-Id': program,
            'Session-Id': f's-{program}',
            'Finish-Ms': '20000',
            'Token-Usage': f'{prompt_tokens},{max_tokens}',
        }
        if budget is not None:
            headers['Token-Budget'] = str(budget)
        if previous:
            headers['Previous-Turn'] = previous
        return await self.send(front, 'POST', path, headers, body, deadline_ms)

    async def send(self, front, method, path, headers, body, deadline_ms):
        request_id = f'{next(_numbers):016x}'
        headers = {
            'Host': 'net.example',
            'Request-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
            'X-Api-Key': 'key-farm',
            **headers,
        }
        what = f'{request_id} {headers.get("Program-Id", "")} to {front.name}'
        previous = headers.get('Previous-Turn', '')
        self._record.write(
            f'send {what} {path} body {len(body)} bytes'
            + (f' after {previous}' if previous else '')
        )
        sent_s = self.sent_s[request_id] = time.monotonic()
        status, content, is_whole = 0, b'', False
        try:
            async with self._session.request(
                method,
                self._deployment.front_url(front) + path,
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1),
            ) as response:
                status = response.status
                async for part in response.content.iter_any():
                    content += part
                is_whole = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        answer = Answer(
            request_id, status, content, is_whole, sent_s, time.monotonic()
        )
        text = content[:80] if status != 200 else b''
        self._record.write(
            f'answer {what} {status} whole {is_whole} '
            f'{len(content)} bytes {text.decode("latin-1")}'
        )
        return answer
