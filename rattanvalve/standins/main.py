"""Program ``rattanvalve-standin``: runs one stand-in."""

import asyncio
import signal
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from functools import partial, reduce
from pathlib import Path
from typing import Any

import click
import uvloop
from aiohttp import web

from rattanvalve import __version__
from rattanvalve.logs import LogPart, configure_logging, part_logger
from rattanvalve.standins.batch import EngineCosts
from rattanvalve.standins.engine import (
    Engine,
    EngineBehaviour,
    build_engine_app,
)
from rattanvalve.standins.journal import JournalWriter, journal_writer
from rattanvalve.standins.service import ServiceState, build_service_app
from rattanvalve.standins.store import StoreState, build_store_app
from rattanvalve.standins.vms import VmList, build_vms_app

__all__ = ('main', 'serve')

_SHUTDOWN_TIMEOUT_S = 1.0

_log = part_logger(LogPart.STANDIN)


async def serve(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Start serving an application.

    :param app: application of a stand-in.
    :param host: address to listen on.
    :param port: port; 0 takes a free one.
    :returns: runner; ``addresses`` holds the bound port, ``cleanup()`` stops
        the server.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


_COMMON_OPTIONS = (
    click.option('--host', default='127.0.0.1', help='Address to listen on.'),
    click.option('--port', default=0, help='Port; 0 takes a free one.'),
    click.option('--name', default='standin', help='Name in logs and journal.'),
    click.option(
        '--journal',
        type=click.Path(dir_okay=False, path_type=Path),
        help='File that receives the journal as JSON lines.',
    ),
)

_ENGINE_OPTIONS = (
    click.option('--max-batch-count', default=8),
    click.option('--step-base-s', default=0.002),
    click.option('--step-per-request-s', default=0.0003),
    click.option('--prefill-per-token-s', default=0.00002),
    click.option('--cache-capacity-tokens', default=100_000),
    click.option('--checks-fencing/--ignores-fencing', default=False),
    click.option('--load-lag-s', type=float, default=0),
    click.option('--event-delay-s', type=float, default=0),
    click.option('--event-gap-every-count', default=0),
)

_SERVICE_OPTIONS = (
    click.option('--delay-s', type=float, default=0),
    click.option('--fail-every-count', default=0),
    click.option('--capacity-count', default=16),
    click.option(
        '--limit-per-s',
        type=float,
        help='Request rate to state in responses; none if omitted.',
    ),
)


def _add_options(
    options: Iterable[Callable],
    command: Callable,
) -> Callable:
    return reduce(_apply_option, (*_COMMON_OPTIONS, *options), command)


def _apply_option(command: Callable, decorate: Callable) -> Callable:
    return decorate(command)


@click.group()
@click.version_option(__version__, prog_name='rattanvalve-standin')
def main() -> None:
    """Run one stand-in until SIGTERM or SIGINT."""


@main.command()
@partial(_add_options, ())
def store(**options: Any) -> None:
    """Run the object store."""
    _run(options, lambda _journal: build_store_app(StoreState()))


@main.command()
@partial(_add_options, _ENGINE_OPTIONS)
def engine(**options: Any) -> None:
    """Run a model engine."""
    costs = EngineCosts(**_field_values(EngineCosts, options))
    behaviour = EngineBehaviour(**_field_values(EngineBehaviour, options))
    _run(
        options,
        lambda journal: build_engine_app(Engine(costs, behaviour, journal)),
    )


@main.command()
@partial(_add_options, _SERVICE_OPTIONS)
def service(**options: Any) -> None:
    """Run a plain service."""
    state = ServiceState(**_field_values(ServiceState, options))
    _run(options, lambda journal: build_service_app(state, journal))


@main.command()
@partial(_add_options, (click.option('--lag-s', type=float, default=0),))
def vms(**options: Any) -> None:
    """Run the VM list."""
    vm_list = VmList(options['lag_s'])
    _run(options, lambda _journal: build_vms_app(vm_list))


def _field_values(dataclass_type: type, options: dict) -> dict:
    return {
        name: value
        for name, value in options.items()
        if name in dataclass_type.__dataclass_fields__
    }


def _run(
    options: dict, build: Callable[[JournalWriter], web.Application]
) -> None:
    configure_logging('INFO', options['name'])
    path = options['journal']
    with ExitStack() as stack:
        out = path and stack.enter_context(path.open('a', encoding='utf-8'))
        journal = journal_writer(options['name'], out)
        uvloop.run(_serve_until_signal(options, partial(build, journal)))


async def _serve_until_signal(
    options: dict,
    build: Callable[[], web.Application],
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    # Engines create objects bound to the event loop, so build them in it.
    runner = await serve(build(), options['host'], options['port'])
    _log.info('listening', extra={'address': str(runner.addresses[0])})
    await stopping.wait()
    await runner.cleanup()


if __name__ == '__main__':
    main()
