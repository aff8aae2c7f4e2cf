"""Program ``rattanvalvectl``: command line for operators."""

import itertools
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

import click
import msgspec

from rattanvalve import __version__
from rattanvalve.configdiff import list_changes
from rattanvalve.ctl_connection import (
    EXIT_NOT_IN_FORCE,
    Connection,
    pass_connection,
)
from rattanvalve.ctl_files import format_changes, read_config
from rattanvalve.ctl_status import (
    find_outdated_entries,
    format_cell_status,
    format_status,
)
from rattanvalve.inventory import parse_config
from rattanvalve.logstory import (
    format_entries,
    parse_lines,
    select_related_entries,
)
from rattanvalve.tables import format_table

__all__ = ('main',)

#: Seconds between two status requests while waiting for a generation.
WAIT_INTERVAL_S = 0.5
#: Exit code if no log line belongs to the request.
EXIT_NOT_FOUND = 7


_existing_file = click.Path(exists=True, dir_okay=False, path_type=Path)


_CONNECTION_OPTIONS = (
    click.option(
        '--url',
        envvar='RATTANVALVE_ADMIN_URL',
        default='http://127.0.0.1:8081',
        show_default=True,
        help='Administration API of any entry process.',
    ),
    click.option(
        '--key-file',
        envvar='RATTANVALVE_ADMIN_KEY_FILE',
        type=_existing_file,
        help='File that holds the operator key.',
    ),
    click.option(
        '--ca-file',
        envvar='RATTANVALVE_ADMIN_CA_FILE',
        type=_existing_file,
        help='PEM file of the authorities to trust for https.',
    ),
)


def _connection_options(command: Callable) -> Callable:
    for option in reversed(_CONNECTION_OPTIONS):
        command = option(command)
    return command


@click.group()
@click.version_option(__version__, prog_name='rattanvalvectl')
@_connection_options
@click.option(
    '--output',
    type=click.Choice(('table', 'json')),
    default='table',
    show_default=True,
)
@click.pass_context
def main(
    context: click.Context,
    url: str,
    key_file: Path | None,
    ca_file: Path | None,
    output: str,
) -> None:
    """Edit the configuration and show the state of rattanvalve."""
    key = key_file.read_text().strip() if key_file else ''
    ca_path = str(ca_file) if ca_file else None
    context.obj = Connection(url, key, output, ca_path)


@main.command()
@click.argument('files', nargs=-1, required=True, type=_existing_file)
def validate(files: tuple[Path, ...]) -> None:
    """Check configuration files without sending them."""
    read_config(files)
    click.echo('valid')


@main.command()
@click.argument('files', nargs=-1, required=True, type=_existing_file)
@click.option('--generation', type=int, help='Generation to start from.')
@click.option('--dry-run', is_flag=True, help='Check and compare only.')
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0),
    help='Seconds to wait until it is in force at every entry of the cell.',
)
@pass_connection
def apply(
    connection: Connection,
    files: tuple[Path, ...],
    generation: int | None,
    dry_run: bool,
    wait_s: float | None,
) -> None:
    """Replace the configuration by that of the files."""
    config = read_config(files)
    if generation is None:
        generation = connection.request('GET', '/v1/config')['generation']
    body = connection.request(
        'PUT',
        '/v1/config',
        params={'dry_run': 'true'} if dry_run else {},
        headers={'If-Match': f'"{generation}"'},
        body=msgspec.to_builtins(config),
    )
    text = f'generation {body["generation"]}'
    connection.print_response(
        body, f'{format_changes(body["changes"])}\n{text}'
    )
    if wait_s is not None and not dry_run:
        _wait_in_force(connection, body['generation'], wait_s)


def _wait_in_force(
    connection: Connection,
    generation: int,
    wait_s: float,
) -> None:
    """Wait for a generation; exit with ``EXIT_NOT_IN_FORCE`` on timeout."""
    deadline_s = time.monotonic() + wait_s
    while True:
        body = connection.request('GET', '/v1/status', params={'all': 'true'})
        behind = find_outdated_entries(body, generation)
        total = len(body['entries']) + len(body['unreachable'])
        line = (
            f'generation {generation} in force at {total - len(behind)} of '
            f'{total} entries'
        )
        is_expired = time.monotonic() >= deadline_s
        if not behind or is_expired:
            break
        if sys.stderr.isatty():
            click.echo(f'\r{line}', nl=False, err=True)
        time.sleep(WAIT_INTERVAL_S)
    if sys.stderr.isatty():
        click.echo('\r', nl=False, err=True)
    missing = f'; not at {", ".join(behind)}' if behind else ''
    click.echo(f'{line}{missing}', err=True)
    if behind:
        sys.exit(EXIT_NOT_IN_FORCE)


@main.command()
@click.argument('files', nargs=-1, required=True, type=_existing_file)
@pass_connection
def diff(connection: Connection, files: tuple[Path, ...]) -> None:
    """Compare files with the configuration in force."""
    proposed = read_config(files)
    body = connection.request('GET', '/v1/config')
    current = parse_config(msgspec.json.encode(body['config'])).unwrap()
    changes = msgspec.to_builtins(list_changes(current, proposed))
    connection.print_response({'changes': changes}, format_changes(changes))


@main.command()
@pass_connection
def get(connection: Connection) -> None:
    """Print the configuration in force."""
    body = connection.request('GET', '/v1/config')
    connection.print_response(body, json.dumps(body['config'], indent=2))


@main.command()
@click.argument('workspace')
@click.argument('name')
@pass_connection
def grant(connection: Connection, workspace: str, name: str) -> None:
    """Create the key NAME for a workspace and print it once."""
    body = connection.request(
        'POST',
        '/v1/keys',
        body={'name': name, 'workspace': workspace},
    )
    connection.print_response(body, body['key'])


@main.command()
@click.argument('name')
@pass_connection
def withdraw(connection: Connection, name: str) -> None:
    """Withdraw the key NAME, also for connected callers."""
    _show_generation(connection, 'DELETE', f'/v1/keys/{name}')


@main.command()
@click.argument('endpoint')
@click.option('--undo', is_flag=True, help='Send new requests to it again.')
@pass_connection
def drain(connection: Connection, endpoint: str, undo: bool) -> None:
    """Stop sending new requests to an endpoint."""
    method = 'DELETE' if undo else 'PUT'
    _show_generation(connection, method, f'/v1/drains/{endpoint}')


@main.command()
@click.option('--all', 'is_all', is_flag=True, help='All entries of the cell.')
@pass_connection
def status(connection: Connection, is_all: bool) -> None:
    """Show current problems and the members of the cell."""
    if is_all:
        body = connection.request('GET', '/v1/status', params={'all': 'true'})
        connection.print_response(body, format_cell_status(body))
        return
    body = connection.request('GET', '/v1/status')
    connection.print_response(body, format_status(body))


@main.command()
@click.option('--last', default=20, show_default=True)
@pass_connection
def audit(connection: Connection, last: int) -> None:
    """Show the author and the changes of each generation, newest first."""
    body = connection.request('GET', '/v1/audit', params={'last': str(last)})
    rows = [
        (str(record['generation']), record['author'], change['place'])
        for record in body['records']
        for change in record['changes']
    ]
    connection.print_response(
        body, format_table(('generation', 'author', 'place'), rows)
    )


@main.command()
@click.argument('workspace')
@click.option('--program', default='', help='Program id.')
@click.option('--request', default='', help='Request id or idempotency key.')
@pass_connection
def explain(
    connection: Connection,
    workspace: str,
    program: str,
    request: str,
) -> None:
    """Show the state of a program or a request."""
    body = connection.request(
        'GET',
        '/v1/explain',
        params={
            'workspace': workspace,
            'program': program,
            'request': request,
        },
    )
    connection.print_response(body, json.dumps(body, indent=2))


@main.command()
@click.argument('request')
@click.argument('logs', nargs=-1, required=True, type=click.File())
def story(request: str, logs: tuple[TextIO, ...]) -> None:
    """Print the lines of LOGS about REQUEST; - reads standard input."""
    entries = parse_lines(itertools.chain.from_iterable(logs))
    chosen = select_related_entries(entries, request)
    if not chosen:
        click.echo(f'no line of request {request}', err=True)
        sys.exit(EXIT_NOT_FOUND)
    click.echo(format_entries(chosen, request))


def _show_generation(connection: Connection, method: str, path: str) -> None:
    body = connection.request(method, path)
    connection.print_response(body, f'generation {body["generation"]}')


if __name__ == '__main__':
    main()
