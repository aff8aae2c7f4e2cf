"""Runs a command with the platform's settings until a signal stops it."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

import click
import uvloop

from rattanvalve.errors import SettingsError
from rattanvalve.logpipe import PipeHandler
from rattanvalve.logs import LogPart, configure_logging, part_logger
from rattanvalve.platform.nodefile import NodeSettings, read_node
from rattanvalve.settings import SETTINGS_EXIT_CODE
from rattanvalve.termination import block_signals, unblock_signals

__all__ = ('SECRET_VARIABLE', 'Program', 'read_peer_secret', 'run_program')

#: Environment variable with the secret that authenticates frames of peers.
SECRET_VARIABLE = 'RATTANVALVE_PEER_SECRET'
LOG_LEVEL_VARIABLE = 'RATTANVALVE_LOG_LEVEL'
_SECRET_BYTES_MIN = 32

_log = part_logger(LogPart.PROCESS)


class Program(Protocol):
    """A long-running process; cancellation stops it gracefully."""

    async def run(self) -> None:
        """Serve until cancelled, then shut down gracefully."""


def run_program(factory: Callable[[NodeSettings, bytes], Program]) -> None:
    """Run a program until SIGTERM or SIGINT; further ones are ignored.

    It exits with ``SETTINGS_EXIT_CODE`` if the settings are invalid.

    :param factory: loads and creates the program from its settings and the
        peer secret.
    """
    block_signals()
    try:
        node = read_node()
        secret = read_peer_secret()
        level = os.environ.get(LOG_LEVEL_VARIABLE, 'INFO')
        configure_logging(level, node.name, PipeHandler())
        program = _load(factory, node, secret)
    except SettingsError as error:
        click.echo(' '.join(str(error).split()), err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    _log.info('started', extra={'host': node.host, 'zone': node.zone})
    uvloop.run(_run_until_signal(program.run))
    _log.info('stopped')


def _load(
    factory: Callable[[NodeSettings, bytes], Program],
    node: NodeSettings,
    secret: bytes,
) -> Program:
    """Load a program without garbage collections, which find nothing then.

    Its modules and classes live as long as the process, so later collections
    skip them.
    """
    gc.disable()
    program = factory(node, secret)
    gc.freeze()
    gc.enable()
    return program


async def _run_until_signal(run: Callable[[], Awaitable[None]]) -> None:
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(run())

    def stop() -> None:
        if task.cancelling():
            # A second cancellation would end the graceful shutdown.
            _log.warning('signal ignored, already stopping')
        else:
            task.cancel()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    # SIGHUP is only logged: settings that can change come from the store.
    loop.add_signal_handler(signal.SIGHUP, _log.info, 'reload requested')
    unblock_signals()
    try:
        await task
    except asyncio.CancelledError:
        _log.info('stopping')


def read_peer_secret() -> bytes:
    """Read the secret that authenticates frames of peers.

    :returns: the secret.
    :raises SettingsError: if the variable is missing or too short.
    """
    secret = os.environ.get(SECRET_VARIABLE, '').encode()
    if len(secret) < _SECRET_BYTES_MIN:
        raise SettingsError(
            f'{SECRET_VARIABLE} needs {_SECRET_BYTES_MIN} bytes or more',
        )
    return secret
