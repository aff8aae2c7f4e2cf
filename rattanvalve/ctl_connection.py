"""Requests, output format and exit codes of ``rattanvalvectl``."""

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
    """Sends requests to one entry and prints the responses.

    :param url: base URL of the administration API.
    :param key: operator key.
    :param output: output format, ``table`` or ``json``.
    :param ca_path: PEM file of trusted certificate authorities, or ``None``.
    """

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

    def request(self, method: str, path: str, **parts: Any) -> dict[str, Any]:
        """Send a request; exit with an error code if it fails.

        :param method: HTTP method.
        :param path: path of the administration API.
        :param parts: optional fields of :class:`AdminRequest`.
        :returns: JSON body of the response.
        """
        request = AdminRequest(method=method, path=path, **parts)
        response = send(self.url, self.key, request, self.ca_path)
        if response.is_err():
            _fail(response.unwrap_err())
        return response.unwrap()

    def print_response(self, body: dict[str, Any], text: str) -> None:
        """Print a response in the selected output format.

        :param body: response, printed as indented JSON.
        :param text: the response laid out for a terminal.
        """
        click.echo(json.dumps(body, indent=2) if self.is_json else text)


pass_connection = click.make_pass_decorator(Connection)


def fail_invalid(text: str) -> NoReturn:
    """Exit with ``EXIT_INVALID`` because a configuration is invalid.

    :param text: file, place in the document and error.
    """
    click.echo(f'error: {text}', err=True)
    sys.exit(EXIT_INVALID)


def _fail(failure: AdminFailure) -> NoReturn:
    newest = f' (newest generation {failure.generation})'
    prefix = f'[{failure.code}] ' if failure.code else ''
    click.echo(
        f'error: {prefix}{failure.text}{newest if failure.generation else ""}',
        err=True,
    )
    sys.exit(_EXIT_CODES.get(failure.code, EXIT_FAILED))
