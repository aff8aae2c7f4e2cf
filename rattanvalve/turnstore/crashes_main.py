"""Entry point of the command ``rattanvalve-crashes``.

Lists the requests that ran at crashed servers and lifts blocks. It talks to one
turn store; the others and the gateways learn of a lifted block from there.
"""

import sys
from collections import defaultdict
from dataclasses import replace

import click

from rattanvalve import __version__
from rattanvalve.channels import Address
from rattanvalve.peer_command import call_process
from rattanvalve.tables import format_table
from rattanvalve.turn_messages import Observations, RequestCrash

__all__ = ('main',)

_MS_PER_S = 1000
_HEADERS = (
    'fingerprint',
    'crashes',
    'newest (s)',
    'workspace',
    'path',
    'endpoints',
)


@click.group()
@click.version_option(__version__, prog_name='rattanvalve-crashes')
@click.option('--host', required=True, help='Address of a turn store.')
@click.option('--port', required=True, type=int, help='Its port for peers.')
@click.pass_context
def main(context: click.Context, host: str, port: int) -> None:
    """List requests that crash servers, or lift their blocks."""
    context.obj = Address(host, port)


@main.command('list')
@click.pass_obj
def list_crashes(address: Address) -> None:
    """List requests with crashes that count against them."""
    crashes = _call(address, Observations())
    by_request = defaultdict(list)
    for crash in crashes:
        if not crash.is_cleared:
            by_request[crash.fingerprint].append(crash)
    rows = [_build_row(known) for known in by_request.values()]
    rows.sort(key=lambda row: int(row[1]), reverse=True)
    click.echo(format_table(_HEADERS, rows))


@main.command('lift')
@click.argument('fingerprint')
@click.pass_obj
def lift_block(address: Address, fingerprint: str) -> None:
    """Let a request run again, for example after servers were fixed."""
    known = [
        replace(crash, is_cleared=True)
        for crash in _call(address, Observations())
        if crash.fingerprint == fingerprint
    ]
    if not known:
        _fail(f'no crash of {fingerprint} is known')
    _call(address, Observations(crashes=tuple(known)))
    click.echo(f'{len(known)} crashes no longer count')


def _build_row(crashes: list[RequestCrash]) -> list[str]:
    newest_ms = min(crash.crash_age_ms for crash in crashes)
    first = crashes[0]
    return [
        first.fingerprint,
        str(len(crashes)),
        str(newest_ms // _MS_PER_S),
        first.workspace,
        first.path,
        ' '.join(crash.endpoint for crash in crashes),
    ]


def _call(address: Address, message: Observations) -> tuple[RequestCrash, ...]:
    """Send observations to a turn store and return the crashes it knows."""
    return call_process(address, message).crashes


def _fail(text: str) -> None:
    click.echo(text, err=True)
    sys.exit(1)


if __name__ == '__main__':
    main()
