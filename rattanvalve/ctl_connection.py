"""Connection of ``rattanvalvectl`` to an entry, its output and exit codes."""

import json
import sys
from typing import Any, NoReturn

import click

from rattanvalve.ctl_client import AdminFailure, AdminRequest, send
from rattanvalve.resultcodes import ResultCode

__all__ = (
    'EXIT_NOT_IN_FORCE',
    'Connection',
    'fail_invalid',
    'pass_connection',
)

#: Exit codes, documented in ``docs/operators.md``.
EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_IN_FORCE = 6
_EXIT_CODES = {
    0: EXIT_UNREACHABLE,
    int(ResultCode.BAD_CONFIGURATION): EXIT_INVALID,
    int(ResultCode.CONFIGURATION_TOO_LARGE): EXIT_INVALID,
    int(ResultCode.CONFLICT): EXIT_CONFLICT,
}


class Connection:
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


pass_connection = click.make_pass_decorator(Connection)


def fail_invalid(text: str) -> NoReturn:
    """End the program because a configuration is invalid.

    :param text: what is wrong, with its place.
    """
    click.echo(f'error: {text}', err=True)
    sys.exit(EXIT_INVALID)


def _fail(failure: AdminFailure) -> NoReturn:
    note = f' (newest generation {failure.generation})'
    number = f'[{failure.code}] ' if failure.code else ''
    click.echo(
        f'error: {number}{failure.text}{note if failure.generation else ""}',
        err=True,
    )
    sys.exit(_EXIT_CODES.get(failure.code, EXIT_FAILED))
