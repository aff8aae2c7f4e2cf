"""Program ``rattanvalvectl``: the operators' command line."""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from rattanvalve import __version__
from rattanvalve.configdiff import list_changes
from rattanvalve.ctl_client import AdminFailure, AdminRequest, send
from rattanvalve.ctl_status import cell_text, entries_behind, status_text
from rattanvalve.inventory import Config, parse_config
from rattanvalve.resultcodes import ResultCode
from rattanvalve.tables import format_table

__all__ = ('main',)

#: Exit codes, documented in ``docs/operators.md``.
EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_IN_FORCE = 6
#: Pause between two looks at the generations in force.
WAIT_INTERVAL_S = 0.5

_EXIT_CODES = {
    0: EXIT_UNREACHABLE,
    int(ResultCode.BAD_CONFIGURATION): EXIT_INVALID,
    int(ResultCode.CONFIGURATION_TOO_LARGE): EXIT_INVALID,
    int(ResultCode.CONFLICT): EXIT_CONFLICT,
}

_existing_file = click.Path(exists=True, dir_okay=False, path_type=Path)


class _Connection:
    """Where to send requests and how to print responses."""

    def __init__(
        self,
        url: str,
        key: str,
        output: str,
        ca_path: str | None,
    ) -> None:
        self.url = url
        self.ca_path = ca_path
        self.key = key
        self.is_json = output == 'json'

    def ask(self, method: str, path: str, **parts: Any) -> dict[str, Any]:
        """Send a request; end the program if it fails.

        :param method: HTTP method.
        :param path: path of the administration API.
        :param parts: further fields of :class:`AdminRequest`.
        :returns: JSON body of the response.
        """
        request = AdminRequest(method=method, path=path, **parts)
        answer = send(self.url, self.key, request, self.ca_path)
        if answer.is_err():
            _fail(answer.unwrap_err())
        return answer.unwrap()

    def show(self, body: dict[str, Any], text: str) -> None:
        """Print a response as JSON or as text.

        :param body: response.
        :param text: the same for a person.
        """
        click.echo(json.dumps(body, indent=2) if self.is_json else text)


_pass_connection = click.make_pass_decorator(_Connection)


def _fail(failure: AdminFailure) -> NoReturn:
    note = f' (newest generation {failure.generation})'
    number = f'[{failure.code}] ' if failure.code else ''
    click.echo(
        f'error: {number}{failure.text}{note if failure.generation else ""}',
        err=True,
    )
    sys.exit(_EXIT_CODES.get(failure.code, EXIT_FAILED))


def _read_config(paths: tuple[Path, ...]) -> Config:
    """Read one whole document, or an inventory and a rules file."""
    document: dict[str, Any] = {}
    for path in paths:
        content = _read_object(path)
        twice = document.keys() & content.keys()
        if twice:
            _fail_invalid(f'{path}: {", ".join(sorted(twice))} given twice')
        document.update(content)
    parsed = parse_config(msgspec.json.encode(document))
    if parsed.is_err():
        names = ', '.join(map(str, paths))
        _fail_invalid(f'{names}: {parsed.unwrap_err()}')
    return parsed.unwrap()


def _read_object(path: Path) -> dict[str, Any]:
    try:
        content = json.loads(path.read_bytes())
    except ValueError as error:
        _fail_invalid(f'{path}: {error}')
    if not isinstance(content, dict):
        _fail_invalid(f'{path}: an object is expected')
    return content


def _fail_invalid(text: str) -> NoReturn:
    click.echo(f'error: {text}', err=True)
    sys.exit(EXIT_INVALID)


def _changes_text(changes: list[dict[str, Any]]) -> str:
    if not changes:
        return 'no changes'
    return format_table(
        ('change', 'place', 'before', 'after'),
        [
            (
                change['kind'],
                change['place'],
                _short_json(change['before']),
                _short_json(change['after']),
            )
            for change in changes
        ],
    )


def _short_json(content: Any, most: int = 40) -> str:
    text = '' if content is None else json.dumps(content)
    return text if len(text) <= most else f'{text[: most - 1]}…'


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
    """Edit the configuration and look at the state of rattanvalve."""
    key = key_file.read_text().strip() if key_file else ''
    ca_path = str(ca_file) if ca_file else None
    context.obj = _Connection(url, key, output, ca_path)


@main.command()
@click.argument('files', nargs=-1, required=True, type=_existing_file)
def validate(files: tuple[Path, ...]) -> None:
    """Check configuration files without sending them."""
    _read_config(files)
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
@_pass_connection
def apply(
    connection: _Connection,
    files: tuple[Path, ...],
    generation: int | None,
    dry_run: bool,
    wait_s: float | None,
) -> None:
    """Replace the configuration by that of the files."""
    config = _read_config(files)
    if generation is None:
        generation = connection.ask('GET', '/v1/config')['generation']
    body = connection.ask(
        'PUT',
        '/v1/config',
        params={'dry_run': 'true'} if dry_run else {},
        headers={'If-Match': f'"{generation}"'},
        body=msgspec.to_builtins(config),
    )
    text = f'generation {body["generation"]}'
    connection.show(body, f'{_changes_text(body["changes"])}\n{text}')
    if wait_s is not None and not dry_run:
        _wait_in_force(connection, body['generation'], wait_s)


def _wait_in_force(
    connection: _Connection,
    generation: int,
    wait_s: float,
) -> None:
    """Wait for a generation; end with an exit code of its own if in vain."""
    deadline_s = time.monotonic() + wait_s
    while True:
        body = connection.ask('GET', '/v1/status', params={'all': 'true'})
        behind = entries_behind(body, generation)
        total = len(body['entries']) + len(body['unreachable'])
        line = (
            f'generation {generation} in force at {total - len(behind)} of '
            f'{total} entries'
        )
        is_over = time.monotonic() >= deadline_s
        if not behind or is_over:
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
@_pass_connection
def diff(connection: _Connection, files: tuple[Path, ...]) -> None:
    """Compare files with the configuration in force."""
    wanted = _read_config(files)
    body = connection.ask('GET', '/v1/config')
    current = parse_config(msgspec.json.encode(body['config'])).unwrap()
    changes = msgspec.to_builtins(list_changes(current, wanted))
    connection.show({'changes': changes}, _changes_text(changes))


@main.command()
@_pass_connection
def get(connection: _Connection) -> None:
    """Print the configuration in force."""
    body = connection.ask('GET', '/v1/config')
    connection.show(body, json.dumps(body['config'], indent=2))


@main.command()
@click.argument('workspace')
@click.argument('name')
@_pass_connection
def grant(connection: _Connection, workspace: str, name: str) -> None:
    """Make a key NAME for a workspace and print it once."""
    body = connection.ask(
        'POST',
        '/v1/keys',
        body={'name': name, 'workspace': workspace},
    )
    connection.show(body, body['key'])


@main.command()
@click.argument('name')
@_pass_connection
def withdraw(connection: _Connection, name: str) -> None:
    """Withdraw the key NAME, also for callers that are connected."""
    _show_generation(connection, 'DELETE', f'/v1/keys/{name}')


@main.command()
@click.argument('endpoint')
@click.option('--undo', is_flag=True, help='Give it new work again.')
@_pass_connection
def drain(connection: _Connection, endpoint: str, undo: bool) -> None:
    """Give an endpoint no new work."""
    method = 'DELETE' if undo else 'PUT'
    _show_generation(connection, method, f'/v1/drains/{endpoint}')


@main.command()
@click.option('--all', 'is_all', is_flag=True, help='All entries of the cell.')
@_pass_connection
def status(connection: _Connection, is_all: bool) -> None:
    """Show what is unwell and the members of the cell."""
    if is_all:
        body = connection.ask('GET', '/v1/status', params={'all': 'true'})
        connection.show(body, cell_text(body))
        return
    body = connection.ask('GET', '/v1/status')
    connection.show(body, status_text(body))


@main.command()
@click.option('--last', default=20, show_default=True)
@_pass_connection
def audit(connection: _Connection, last: int) -> None:
    """Show who changed what, newest first."""
    body = connection.ask('GET', '/v1/audit', params={'last': str(last)})
    rows = [
        (str(record['generation']), record['author'], change['place'])
        for record in body['records']
        for change in record['changes']
    ]
    connection.show(body, format_table(('generation', 'author', 'place'), rows))


@main.command()
@click.argument('workspace')
@click.option('--program', default='', help='Program id.')
@click.option('--request', default='', help='Request id or idempotency key.')
@_pass_connection
def explain(
    connection: _Connection,
    workspace: str,
    program: str,
    request: str,
) -> None:
    """Show what is known about a program or a request."""
    body = connection.ask(
        'GET',
        '/v1/explain',
        params={
            'workspace': workspace,
            'program': program,
            'request': request,
        },
    )
    connection.show(body, json.dumps(body, indent=2))


def _show_generation(connection: _Connection, method: str, path: str) -> None:
    body = connection.ask(method, path)
    connection.show(body, f'generation {body["generation"]}')


if __name__ == '__main__':
    main()
