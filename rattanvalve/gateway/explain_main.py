"""Entry point of the command ``rattanvalve-explain``.

Asks a running gateway where it would send a request now, and why. The request
is not sent and uses no token.
"""

from collections.abc import Sequence

import click
from multidict import CIMultiDict

from rattanvalve.channels import Address
from rattanvalve.peer_command import call_process
from rattanvalve.platform import names
from rattanvalve.tables import format_table
from rattanvalve.turn_messages import (
    ExplainedCandidate,
    ExplainPlacement,
    PlacementExplained,
)
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('main',)

_HEADERS = (
    '',
    'endpoint',
    'zone',
    'requests',
    'report (ms)',
    'cached tokens',
    'connection',
    'preferred',
    'room',
    'health (ms)',
    'surcharge (ms)',
    'expected (ms)',
)


@click.command()
@click.option('--host', 'gateway', required=True, help='Address of a gateway.')
@click.option('--port', required=True, type=int, help='Its port for peers.')
@click.option('--header', multiple=True, help='"Name: text" of the request.')
@click.argument('host')
@click.argument('path')
def main(
    gateway: str, port: int, header: tuple[str, ...], host: str, path: str
) -> None:
    """Tell where a gateway would send a request to HOST and PATH, and why.

    Of the headers, Tenant, Prompt-Prefix, Request-Id, Content-Length and
    Previous-Turn count.
    """
    message = _build_message(host, path, header)
    explained = call_process(Address(gateway, port), message)
    click.echo(_format(explained))


def _build_message(
    host: str, path: str, lines: Sequence[str]
) -> ExplainPlacement:
    headers = CIMultiDict()
    for line in lines:
        name, _, text = line.partition(':')
        headers.add(name.strip(), text.strip())
    length = parse_whole_number(headers.get('Content-Length', ''))
    return ExplainPlacement(
        host=host,
        path=path,
        workspace=headers.get(names.WORKSPACE, ''),
        prompt_parts=headers.get(names.PROMPT_PARTS, ''),
        request_id=headers.get(names.REQUEST_ID, ''),
        payload_bytes=length or 0,
        continues_program=names.PREVIOUS_TURN in headers,
    )


def _format(explained: PlacementExplained) -> str:
    candidates = sorted(
        explained.candidates,
        key=lambda known: known.expected_ms + known.surcharge_ms,
    )
    rows = [_build_row(known, explained.chosen) for known in candidates]
    return '\n'.join(
        (
            f'service: {explained.service_name or "none"}',
            f'chosen: {explained.chosen or "none"} ({explained.reason})',
            format_table(_HEADERS, rows),
        )
    )


def _build_row(known: ExplainedCandidate, chosen: str) -> list[str]:
    age_ms = known.report_age_ms
    return [
        '*' if known.endpoint == chosen else '',
        known.endpoint,
        known.zone,
        f'{known.expected_count:.1f}',
        'none' if age_ms < 0 else str(age_ms),
        str(known.cached_tokens),
        'idle' if known.has_idle_connection else 'new',
        _yes_or_no(known.is_preferred),
        'avoided' if known.is_avoided else _yes_or_no(known.has_room),
        f'{known.health_penalty_ms:.1f}',
        f'{known.surcharge_ms:.1f}',
        f'{known.expected_ms:.1f}',
    ]


def _yes_or_no(is_so: bool) -> str:
    return 'yes' if is_so else 'no'


if __name__ == '__main__':
    main()
