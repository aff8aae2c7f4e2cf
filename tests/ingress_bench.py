"""Test setup of an ingress with a fake owner and a fake endpoint process."""

import asyncio
import json
from collections import defaultdict

from aiohttp.test_utils import TestClient, TestServer

from rattanvalve import messages, outcomes
from rattanvalve.blackboard import Blackboard
from rattanvalve.caller_api import RUNNER_OPTIONS, build_caller_app
from rattanvalve.calls import CallLimits
from rattanvalve.channels import Address
from rattanvalve.chatstream import resume_event
from rattanvalve.counters import Metrics
from rattanvalve.errors import PeerError
from rattanvalve.ingress import IngressParts, build_ingress
from rattanvalve.open_requests import OpenRequests
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.response_copies import ResponseCopies
from rattanvalve.resultcodes import ResultCode
from tests.samples import NORTH_KEY, sample_catalog

SECRET = b's' * 32
TEXT = 'one two three four'
AUTH = {'Authorization': f'Bearer {NORTH_KEY}'}
EVENT_STREAM = 'text/event-stream'
#: Polls of `eventually` before it fails, 10 ms apart.
MAX_POLL_COUNT = 300


async def eventually(condition):
    """Poll until a condition holds; fail after ``MAX_POLL_COUNT`` polls."""
    for _ in range(MAX_POLL_COUNT):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the condition was not reached')


def chat_body(**fields):
    """Build a chat-completions body, with fields added or replaced."""
    base = {'model': 'small', 'messages': [{'role': 'user', 'content': 'hi'}]}
    return base | fields


def event(**delta):
    """Encode a server-sent event of a chat stream."""
    document = {'choices': [{'index': 0, 'delta': delta}]}
    return f'data: {json.dumps(document)}\n\n'.encode()


def response_parts(run):
    """Return the body of the fake engine's response in parts."""
    if not run.is_stream:
        return [b'{"text": "', TEXT.encode(), b'"}']
    assert TEXT.startswith(run.resume_text)
    words = TEXT[len(run.resume_text) :].split(' ')
    chunks = [f'{word} ' for word in words[:-1]] + words[-1:]
    return [
        event(role='assistant', content=''),
        *(event(content=word) for word in chunks if word),
        b'data: [DONE]\n\n',
    ]


def parse_stream_text(raw):
    """Concatenate the text of all events of a chat stream."""
    pieces = []
    for line in raw.decode().splitlines():
        if line.startswith('data: {'):
            for choice in json.loads(line[6:]).get('choices', ()):
                pieces.append(choice['delta'].get('content') or '')
    return ''.join(pieces)


class FakeOwner:
    """Makes the decisions that a list of words scripts.

    ``ticket``, also when the list is empty, issues a ticket; ``nowhere``
    issues one for an endpoint process that does not run; ``hold`` never
    responds; a number refuses with this code; another word is an outcome.
    """

    def __init__(self, address):
        self.address = address
        self.decisions = []
        self.begins = []
        self.resolves = []
        self.left = []
        self.ticket_count = 0
        #: State with the view whose epoch tickets get; without one, 0.
        self.blackboard = Blackboard()

    async def begin(self, begin):
        """Return the scripted decision for a new request."""
        self.begins.append(begin)
        if self.decisions[:1] == ['hold']:
            await asyncio.get_running_loop().create_future()
        return self._decide()

    async def resolve(self, resolve):
        """Return the scripted decision for an interrupted run."""
        if resolve.reason == outcomes.LEFT_REASON:
            self.left.append(resolve)
            return messages.Outcome(outcome=outcomes.NOT_RUN)
        self.resolves.append(resolve)
        return self._decide()

    def _decide(self):
        word = self.decisions.pop(0) if self.decisions else 'ticket'
        if word.isdigit():
            return messages.Refusal(code=int(word), retry_after_ms=1500)
        place = {'host': self.address.host, 'port': self.address.port}
        if word == 'nowhere':
            # No process listens on the discard port of this machine.
            place['port'] = 9
        elif word != 'ticket':
            return messages.Outcome(
                number=f'owner/1/{self.ticket_count}',
                outcome=word,
                **place,
            )
        self.ticket_count += 1
        begin = self.begins[-1]
        return messages.Ticket(
            number=f'owner/1/{self.ticket_count}',
            request_id=begin.request_id,
            workspace=begin.workspace,
            program_id=begin.program_id,
            is_repeatable=begin.is_repeatable,
            timeout_ms=begin.timeout_ms,
            epoch=self.blackboard.view.epoch,
            **place,
        )


class FakeEndpoint:
    """Handles each run as the next word of its script says.

    ``answer``, also when the script is empty, sends the whole response;
    ``1203`` refuses with this code; ``break3`` closes the connection within
    part 3; ``hold3`` waits before part 3; ``crossed`` responds with the number
    of another ticket; ``lost`` closes the connection before the end message.
    """

    def __init__(self):
        self.script = []
        self.settle_script = []
        self.runs = []
        self.ended = defaultdict(str)
        self.release = asyncio.Event()
        self.parts_sent = 0
        #: Tickets of older epochs are refused.
        self.epoch_min = 0

    async def run(self, run, send):
        """Respond to a run as the script's next word says."""
        self.runs.append(run)
        if run.ticket.epoch < self.epoch_min:
            await send(
                messages.Refusal(
                    code=ResultCode.STALE_EPOCH, epoch=self.epoch_min
                )
            )
            return
        word = self.script.pop(0) if self.script else 'answer'
        number = run.ticket.number
        self.ended[number] = 'running'
        try:
            await self._respond(run, send, word)
        except asyncio.CancelledError:
            self.ended[number] = 'cancelled'
            raise
        self.ended[number] = 'finished'

    async def settle(self, settle, send):
        """Respond with the record that the settle script's word selects."""
        word = (
            self.settle_script.pop(0)
            if self.settle_script
            else outcomes.ANSWERED
        )
        if word == 'gone':
            raise PeerError('gone on purpose')
        run = self.runs[-1] if self.runs else messages.Run()
        kind = EVENT_STREAM if run.is_stream else 'application/json'
        await send(
            messages.Settled(
                number='owner/9/9' if word == 'crossed' else settle.number,
                outcome=outcomes.ANSWERED if word == 'crossed' else word,
                http_status=200,
                headers=(messages.Header(name='Content-Type', content=kind),),
                body=resume_event(run.resume_text)
                + b''.join(response_parts(run)),
            ),
        )

    async def _respond(self, run, send, word):
        number = run.ticket.number
        if word.isdigit():
            await send(messages.Refusal(code=int(word)))
            return
        shown = 'owner/9/9' if word == 'crossed' else number
        kind = EVENT_STREAM if run.is_stream else 'application/json'
        headers = tuple(
            messages.Header(name=name, content=content)
            for name, content in (('Content-Type', kind), ('X-Host', 'vm-7'))
        )
        await send(
            messages.Head(number=number, http_status=200, headers=headers),
        )
        for index, part in enumerate(response_parts(run)):
            if word == f'break{index}':
                await send(messages.Chunk(number=shown, content=part[:5]))
                raise PeerError('broken on purpose')
            if word == f'hold{index}':
                await self.release.wait()
            await send(messages.Chunk(number=shown, content=part))
            self.parts_sent += 1
        if word == 'lost':
            raise PeerError('the end is lost on purpose')
        await send(messages.End(number=shown, outcome=outcomes.ANSWERED))


class Bench:
    """An ingress, its client and the fake servers of one scenario."""

    def __init__(self):
        self.blackboard = Blackboard(catalog=sample_catalog())
        self.blackboard.readiness.is_started = True
        self.metrics = Metrics()
        self.pool = PeerPool(SECRET)
        self.open_requests = OpenRequests(self.metrics)
        self.endpoint = FakeEndpoint()
        self.server = PeerServer(
            SECRET,
            {
                messages.Run: self.endpoint.run,
                messages.Settle: self.endpoint.settle,
            },
            self.metrics,
        )
        self.own = messages.Member(name='entry-a')
        self.copies = ResponseCopies(
            own_name='entry-a',
            blackboard=self.blackboard,
            pool=self.pool,
        )

    async def start(self):
        """Start the servers and the client on loopback."""
        address = await self.server.start(Address('127.0.0.1', 0))
        self.owner = FakeOwner(address)
        parts = IngressParts(
            own_name='entry-a',
            blackboard=self.blackboard,
            metrics=self.metrics,
            pool=self.pool,
            open_requests=self.open_requests,
            local_owner=self.owner,
            find_owner=lambda *_: self.own,
            copies=self.copies,
        )
        limits = CallLimits(
            history_digests=lambda chat: tuple(range(len(chat))),
            request_timeout_s=60,
            max_body_bytes=4096,
            max_body_depth=8,
        )
        self.watcher = asyncio.ensure_future(
            self.open_requests.watch(self.blackboard),
        )
        http = TestServer(build_caller_app(build_ingress(parts, limits)))
        options = dict(RUNNER_OPTIONS)
        options.pop('handler_cancellation')  # the test server sets it itself
        await http.start_server(**options)
        self.client = TestClient(http)
        await self.client.start_server()
        return self

    async def close(self):
        """Stop the client, the servers and all runs that are held."""
        self.endpoint.release.set()
        self.watcher.cancel()
        await self.client.close()
        self.pool.close()
        await self.server.stop()

    def set_catalog(self, catalog):
        """Publish a new configuration to the ingress."""
        self.blackboard.catalog = catalog
        self.blackboard.publish()

    def chat(self, *, headers=None, **fields):
        """Send a chat request with the key of workspace north."""
        return self.client.post(
            '/v1/chat/completions',
            json=chat_body(**fields),
            headers=AUTH | (headers or {}),
        )


def open_bench(context):
    """Start a bench; it is closed at the end of the scenario."""
    context.bench = context.run(Bench().start())
    context.closers.append(context.bench.close)
    return context.bench
