"""Command line and event loop of ``rattanvalve-entry``."""

import sys
from functools import partial
from pathlib import Path

import aiomisc
import click
import uvloop

from rattanvalve import __version__
from rattanvalve.errors import SettingsError
from rattanvalve.logs import configure_logging
from rattanvalve.reloading import SettingsSource, ignore_reload_signal
from rattanvalve.settings import (
    SETTINGS_EXIT_CODE,
    EntrySettings,
    load_settings,
)
from rattanvalve.termination import block_signals, unblock_signals
from rattanvalve.wire import MAX_FRAME_BYTES

__all__ = ('main', 'run_service')

#: Bytes of a frame reserved for the ticket, headers and text to resume.
_FRAME_RESERVE_BYTES = 5 * 1024 * 1024
#: Time for closing connections after the last request, in seconds.
_CLOSE_GRACE_S = 10.0


@click.command()
@click.version_option(__version__, prog_name='rattanvalve-entry')
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=Path),
    help='JSON file with the settings of this process.',
)
def main(settings_path: Path) -> None:
    """Take requests of callers and own workspaces."""
    block_signals()
    try:
        settings = _read_settings(settings_path)
    except SettingsError as error:
        click.echo(' '.join(str(error).split()), err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    configure_logging(settings.log_level, settings.name)
    ignore_reload_signal()
    # This import loads every module of the process. It is done late, so that
    # --version and errors of the settings are reported without that delay.
    from rattanvalve.entry_process import EntryProcess

    source = SettingsSource(
        settings_path,
        partial(_read_settings, settings_path),
    )
    try:
        process = EntryProcess(settings, source)
    except SettingsError as error:
        click.echo(' '.join(str(error).split()), err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    run_service(
        process,
        settings.drain_grace_s + settings.stop_timeout_s + _CLOSE_GRACE_S,
    )


def run_service(service: aiomisc.Service, shutdown_timeout_s: float) -> None:
    """Run a service until SIGTERM or SIGINT, which may be pending already.

    :param service: service to start and stop.
    :param shutdown_timeout_s: time limit of its shutdown in seconds.
    """
    with aiomisc.entrypoint(
        service,
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=shutdown_timeout_s,
    ) as loop:
        unblock_signals()
        loop.run_forever()


def _read_settings(path: Path) -> EntrySettings:
    settings = load_settings(path, EntrySettings)
    if settings.max_body_bytes > MAX_FRAME_BYTES - _FRAME_RESERVE_BYTES:
        raise SettingsError(
            f'{path}: a body of max_body_bytes does not fit into a frame',
        )
    return settings


if __name__ == '__main__':
    main()
