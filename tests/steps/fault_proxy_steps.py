"""Steps of fault_proxy.feature."""

import asyncio
import socket

from behave import given, then, when

from rattanvalve.fault_proxy import TO_CALLER, TO_TARGET, FaultProxy
from rattanvalve.fleet_settings import Address

LIMIT_S = 30
MESSAGE = b'ping'
FAULTS = {
    'a cut': FaultProxy.cut,
    'a stall': FaultProxy.stall,
    'a stall of replies': lambda proxy: proxy.stall(frozenset((TO_CALLER,))),
    'a stall of requests': lambda proxy: proxy.stall(frozenset((TO_TARGET,))),
    'a delay': lambda proxy: proxy.delay(0.01),
}


def free_port():
    """Return a TCP port that is free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@given('a proxy in front of a server that echoes')
def step_proxy(context):
    context.received = asyncio.Queue()

    async def echo(reader, writer):
        while content := await reader.read(100):
            context.received.put_nowait(content)
            writer.write(content)
        writer.close()

    async def start():
        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        context.proxy = FaultProxy(Address(free_port()), Address(port))
        await context.proxy.start()
        context.closers.extend((server.close, context.proxy.stop))

    context.run(start())


async def connect(context):
    """Open a connection to the server through the proxy."""
    listen = context.proxy.listen
    return await asyncio.open_connection(listen.host, listen.port)


async def exchange(reader, writer):
    """Send a message and read its echo."""
    writer.write(MESSAGE)
    async with asyncio.timeout(LIMIT_S):
        return await reader.readexactly(len(MESSAGE))


@when('{fault} begins on an open connection')
def step_fault(context, fault):
    async def begin_fault():
        reader, writer = await connect(context)
        assert await exchange(reader, writer) == MESSAGE
        await context.received.get()
        FAULTS[fault](context.proxy)
        # Keep a reference: the connection closes when its writer is garbage
        # collected.
        context.connection = reader, writer
        writer.write(MESSAGE)

    context.run(begin_fault())


async def observe_arrival(context):
    """Wait for the echo for 0.3 s and return which bytes have arrived."""
    echo = asyncio.ensure_future(context.connection[0].read(100))
    # Without a stall the bytes arrive well within this time.
    await asyncio.wait((echo,), timeout=0.3)
    context.echo = echo
    if echo.done() and not echo.exception() and echo.result():
        return 'the echo'
    return 'nothing' if context.received.empty() else 'only the request'


@then('{found} has arrived and the connection {state}')
def step_arrived(context, found, state):
    assert context.run(observe_arrival(context)) == found
    is_reset = context.echo.done() and context.echo.exception() is not None
    assert is_reset == (state == 'was reset')


@then('a message passes after the proxy is healed')
def step_healed(context):
    async def heal():
        context.proxy.heal()
        if not context.echo.done():
            # The proxy forwards the bytes that it held back.
            async with asyncio.timeout(LIMIT_S):
                assert await context.echo == MESSAGE
        assert await exchange(*await connect(context)) == MESSAGE

    context.run(heal())
