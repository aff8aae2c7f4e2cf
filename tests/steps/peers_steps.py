"""Steps of peers.feature, with a server and a client on loopback."""

import asyncio

from behave import given, then, when

from rattanvalve import messages
from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.peersecrets import PeerSecrets

SECRET = b's' * 32
#: Pause of a handler between two chunks in seconds, by its manner.
PAUSES_S = {'without end': 0.001, 'and then only waits': 60}
CHUNK_COUNT = 20
TIMEOUT_S = 30


async def respond_to_settle(message, send):
    """Respond with the same number after a delay of 0 to 20 ms."""
    await asyncio.sleep(len(message.number) % 3 / 100)
    await send(messages.Settled(number=message.number))


def start(context, handlers):
    """Start a server with these handlers and a client pool on loopback."""
    context.metrics = Metrics()
    server = PeerServer(SECRET, handlers, context.metrics)
    context.address = context.run(server.start(Address('127.0.0.1', 0)))
    context.pool = PeerPool(SECRET)
    context.closers.extend((server.stop, context.pool.close))


@given('a peer server that answers settle messages')
def step_settle_server(context):
    start(context, {messages.Settle: respond_to_settle})


@given('a peer server whose handler fails')
def step_failing_server(context):
    async def fail(message, send):
        raise OverflowError

    start(context, {messages.Settle: fail})


@when('a call gets no answer')
def step_unanswered(context):
    call = context.pool.call(
        context.address, messages.Settle(number='1'), TIMEOUT_S
    )
    try:
        context.run(call)
    except PeerError:
        return
    raise AssertionError('the call was answered')


@then('the failure is counted')
def step_failure_counted(context):
    assert context.metrics.counts[Counter.HANDLER_FAILED] == 1


@given('a peer server that streams chunks {manner}')
def step_endless_server(context, manner):
    context.ended = asyncio.Event()
    context.end_reason = None

    async def stream_chunks(message, send):
        # A finite stream could end before its reader disconnects.
        try:
            while True:
                await send(messages.Chunk(content=b'more'))
                await asyncio.sleep(PAUSES_S[manner])
        except BaseException as error:
            context.end_reason = type(error)
            context.ended.set()
            raise

    start(context, {messages.Run: stream_chunks})


@given('a peer server that streams chunks')
def step_stream_server(context):
    async def stream_chunks(message, send):
        for index in range(CHUNK_COUNT):
            await send(messages.Chunk(content=str(index).encode()))
            await asyncio.sleep(0.001)
        await send(messages.End())

    start(context, {messages.Run: stream_chunks})


@when('50 calls run at once, twice over the same pool')
def step_calls(context):
    async def call(number):
        response = await context.pool.call(
            context.address,
            messages.Settle(number=number),
            TIMEOUT_S,
        )
        return number, response.number

    async def call_all():
        rounds = [
            await asyncio.gather(*(call('n' * index) for index in range(50)))
            for _ in range(2)
        ]
        return [pair for pairs in rounds for pair in pairs]

    context.pairs = context.run(call_all())


@then('each call got the answer to its own number')
def step_own_answer(context):
    assert len(context.pairs) == 100
    assert all(sent == received for sent, received in context.pairs)


async def read_stream(context, max_count):
    """Read a stream up to ``max_count`` messages; -1 reads to its end."""
    received = []
    async with context.pool.stream(context.address, messages.Run()) as stream:
        async for message in stream:
            received.append(message)
            if len(received) == max_count:
                break
    return received


@when('a stream is read to its end')
def step_read(context):
    context.received = context.run(read_stream(context, max_count=-1))


@then('the chunks arrived in order and the connection is reused')
def step_in_order(context):
    chunks = [int(chunk.content) for chunk in context.received[:-1]]
    assert chunks == list(range(CHUNK_COUNT))
    assert len(context.pool._idle[context.address]) == 1


@when('a stream is left after the first chunk')
def step_leave(context):
    context.run(read_stream(context, max_count=1))


@then('the handler was cancelled')
def step_cancelled(context):
    context.run(asyncio.wait_for(context.ended.wait(), TIMEOUT_S))
    assert context.end_reason is asyncio.CancelledError, context.end_reason


@then('the handler was cancelled or its connection broke')
def step_ended(context):
    context.run(asyncio.wait_for(context.ended.wait(), TIMEOUT_S))
    assert issubclass(context.end_reason, (asyncio.CancelledError, OSError)), (
        context.end_reason
    )


@when('a stranger sends malformed bytes')
def step_stranger(context):
    async def send_garbage():
        reader, writer = await asyncio.open_connection(
            context.address.host,
            context.address.port,
        )
        writer.write((64).to_bytes(4) + b'x' * 64)
        await reader.readexactly(16)
        rest = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        return rest

    context.rest = context.run(send_garbage())


@then('the stranger is disconnected and counted')
def step_disconnected(context):
    assert context.rest == b''
    assert context.metrics.counts[Counter.FRAME_REJECTED] == 1


@then('a call still gets its answer')
def step_still(context):
    response = context.run(
        context.pool.call(
            context.address,
            messages.Settle(number='later'),
            TIMEOUT_S,
        ),
    )
    assert response.number == 'later'


@when('a connection is closed before a message is sent')
def step_close(context):
    async def close():
        context.channel = await context.pool._connect(context.address)
        context.channel.close()
        await context.channel._writer.wait_closed()

    context.run(close())


@then('sending fails like a broken connection')
def step_closed(context):
    try:
        context.run(context.channel.send(messages.Settle()))
    except OSError as error:
        assert 'closed' in str(error)
    else:
        raise AssertionError('no error')


def parse_secrets(names):
    """Derive 32-byte secrets from comma-separated names."""
    first, *more = (each.ljust(32, '-').encode() for each in names.split(', '))
    return PeerSecrets(first, tuple(more))


def call_once(context, pool):
    """Make one call and return whether it receives a response."""
    message = messages.Settle(number='n')
    try:
        context.run(pool.call(context.address, message, TIMEOUT_S))
    except PeerError:
        return False
    return True


@given('a peer server that accepts {names}')
def step_accepts(context, names):
    context.secrets = parse_secrets(names)
    handlers = {messages.Settle: respond_to_settle}
    server = PeerServer(context.secrets, handlers, Metrics())
    context.address = context.run(server.start(Address('127.0.0.1', 0)))
    context.closers.append(server.stop)


@when('a client that sends with {name} calls')
def step_client_calls(context, name):
    context.client_secrets = parse_secrets(name)
    context.pool = PeerPool(context.client_secrets)
    # A second client, which does not change its secret later.
    context.late_pool = PeerPool(parse_secrets(name))
    context.closers.extend((context.pool.close, context.late_pool.close))
    call_once(context, context.late_pool)
    context.is_answered = call_once(context, context.pool)


@when('the client changes to {client} and the server to {server}')
def step_change(context, client, server):
    context.client_secrets.replace_with(parse_secrets(client))
    context.secrets.replace_with(parse_secrets(server))
    context.is_answered = call_once(context, context.pool)


@then('the call is {outcome}')
def step_outcome(context, outcome):
    assert context.is_answered == (outcome == 'answered')


@then('a call on a connection with old is refused')
def step_late(context):
    assert not call_once(context, context.late_pool)


@then('the exchange did not work')
def step_no_exchange(context):
    assert not context.is_answered or call_once(context, context.late_pool)
