"""Steps of reloading.feature; ``tests/tls`` holds the certificates."""

import asyncio
import os
import shutil
import signal
import ssl
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from rattanvalve.counters import Metrics
from rattanvalve.reloading import SettingsReloader, SettingsSource
from rattanvalve.settings import Tls
from rattanvalve.tls import make_tls_context, reload_tls_context

FILES = Path(__file__).parent.parent / 'tls'


class EventMetrics(Metrics):
    """Counters that set an event on each count."""

    def __init__(self):
        super().__init__()
        self.counted = asyncio.Event()

    def count(self, counter, amount=1):
        """Increment a counter and set the event."""
        super().count(counter, amount)
        self.counted.set()


@given('a listener with the certificate {name}')
def step_listener(context, name):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = Path(folder.name)
    replace_tls_files(context, name, name)
    tls = Tls(
        certificate_path=str(context.folder / 'crt'),
        key_path=str(context.folder / 'key'),
    )
    context.settings = SimpleNamespace(caller_tls=tls)
    context.tls = make_tls_context(tls) or ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH,
    )
    context.metrics = EventMetrics()
    context.ticks = asyncio.Queue()
    context.reloading = SettingsReloader(
        SettingsSource(context.folder / 'settings', lambda: context.settings),
        lambda settings: reload_tls_context(context.tls, settings.caller_tls),
        context.metrics,
        lambda _delay_s: context.ticks.get(),
    )

    async def start():
        context.server = await asyncio.start_server(
            lambda _reader, writer: writer.close(),
            '127.0.0.1',
            0,
            ssl=context.tls,
        )
        context.watch = asyncio.ensure_future(
            context.reloading.run(context.settings),
        )
        await asyncio.sleep(0)

    context.run(start())
    context.closers.append(context.server.close)


def replace_tls_files(context, certificate, key):
    """Replace the certificate and key files of the listener."""
    for name, part in ((certificate, 'crt'), (key, 'key')):
        target = context.folder / part
        if name == 'rubbish':
            target.write_text(name)
        else:
            shutil.copyfile(FILES / f'{name}.{part}', target)
        # Copies within one tick of the file system's clock get equal times;
        # a time that depends on the name makes the change visible.
        os.utime(target, ns=(len(name), len(name)))


@when('its files become {certificate} and {key} and {event}')
def step_files(context, certificate, key, event):
    replace_tls_files(context, certificate, key)

    async def wait_reloaded():
        if event == 'the check runs':
            context.ticks.put_nowait(None)
        else:
            os.kill(os.getpid(), signal.SIGHUP)
        await context.metrics.counted.wait()

    context.run(wait_reloaded())


def can_connect_trusting(context, name):
    """Return whether a caller that trusts only this certificate connects."""
    trusting = ssl.create_default_context(cafile=str(FILES / f'{name}.crt'))
    port = context.server.sockets[0].getsockname()[1]

    async def connect():
        try:
            _, writer = await asyncio.open_connection(
                '127.0.0.1',
                port,
                ssl=trusting,
            )
        except (ssl.SSLError, OSError):
            return False
        writer.close()
        return True

    return context.run(connect())


@then('callers see the certificate {name} and {counter} is counted')
def step_seen(context, name, counter):
    assert can_connect_trusting(context, name)
    assert dict(context.metrics.counts) == {counter: 1}
    assert bool(context.reloading.problem) == counter.endswith('failed')


@then('callers do not see the certificate {name}')
def step_not_seen(context, name):
    assert not can_connect_trusting(context, name)
