"""Command line of ``rattanvalve-endpoint``, which serves one server."""

import sys
from functools import partial
from pathlib import Path

import aiomisc
import click
import uvloop

from rattanvalve import __version__
from rattanvalve.errors import SettingsError
from rattanvalve.logs import LogPart, configure_logging, part_logger
from rattanvalve.reloading import SettingsSource, ignore_reload_signal
from rattanvalve.settings import (
    SETTINGS_EXIT_CODE,
    EndpointSettings,
    load_settings,
)
from rattanvalve.termination import block_signals, unblock_signals

__all__ = ('main',)

_PROGRAM = 'rattanvalve-endpoint'


@click.command(name=_PROGRAM)
@click.option(
    '--settings',
    'settings_path',
    required=True,
    metavar='FILE',
    type=click.Path(path_type=Path),
    help='JSON file with the settings of this process.',
)
@click.version_option(__version__, prog_name=_PROGRAM)
def main(settings_path: Path) -> None:
    """Run the endpoint process beside one server, until SIGTERM."""
    block_signals()
    try:
        settings = load_settings(settings_path, EndpointSettings)
    except SettingsError as error:
        click.echo(f'{_PROGRAM}: {error}', err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    configure_logging(settings.log_level, settings.name)
    ignore_reload_signal()
    source = SettingsSource(
        settings_path,
        partial(load_settings, settings_path, EndpointSettings),
    )
    # This import is slow, so the signals are blocked before it: without
    # handlers they would end the process at once.
    from rattanvalve.endpoint_process import EndpointProcess, shutdown_timeout_s

    with aiomisc.entrypoint(
        EndpointProcess(settings, source),
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        shutdown_timeout=shutdown_timeout_s(settings),
    ) as loop:
        unblock_signals()
        part_logger(LogPart.PROCESS).info('ready')
        loop.run_forever()


if __name__ == '__main__':
    main()
