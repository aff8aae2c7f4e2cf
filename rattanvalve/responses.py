"""Format of refusals, as the chat-completions protocol has it."""

import math
from typing import Any

import msgspec

from rattanvalve import outcomes
from rattanvalve.messages import Header, Refusal
from rattanvalve.resultcodes import info_of

__all__ = (
    'OUTCOME_HEADER',
    'PROGRAM_HEADER',
    'allowed_headers',
    'error_body',
    'error_event',
    'error_headers',
    'honest_outcome',
)

OUTCOME_HEADER = 'Rattanvalve-Outcome'
PROGRAM_HEADER = 'Rattanvalve-Program'

#: Statuses after which a caller may try again later (RFC 9110, RFC 6585).
_RETRY_STATUSES = frozenset((429, 503))
_MIN_RETRY_AFTER_S = 1

#: Headers of a response that reach the caller. Others may describe the
#: connection to the server or hold names of the internal network.
_PASSED_BACK = frozenset(
    (
        'cache-control',
        'content-disposition',
        'content-language',
        'content-type',
        'etag',
        'expires',
        'last-modified',
        'location',
        'retry-after',
        'vary',
    )
)


def allowed_headers(headers: tuple[Header, ...]) -> dict[str, str]:
    """Choose the response headers that reach the caller.

    :param headers: headers of the endpoint.
    :returns: headers of the allow-list without line breaks.
    """
    return {
        header.name: header.content
        for header in headers
        if header.name.lower() in _PASSED_BACK and header.content.isprintable()
    }


def error_body(refusal: Refusal) -> bytes:
    """Write the JSON body of a refusal.

    :param refusal: refusal with a result code.
    :returns: JSON text in the protocol's error format.
    """
    return msgspec.json.encode(_error_document(refusal))


def error_event(refusal: Refusal) -> bytes:
    """Write a refusal as a server-sent event, for a stream that has begun.

    :param refusal: refusal with a result code.
    :returns: one whole event.
    """
    return b'data: %b\n\n' % error_body(refusal)


def error_headers(
    refusal: Refusal,
    program_id: str,
    outcome: str,
) -> dict[str, str]:
    """Build the headers of a refusal.

    :param refusal: refusal with a result code.
    :param program_id: program of the request, or an empty string.
    :param outcome: outcome name by :func:`honest_outcome`.
    :returns: headers; ``Retry-After`` is in whole seconds, at least 1.
    """
    info = info_of(refusal.code)
    headers = {
        'Content-Type': 'application/json',
        OUTCOME_HEADER: outcome,
    }
    if program_id:
        headers[PROGRAM_HEADER] = program_id
    if info.http_status in _RETRY_STATUSES:
        wait_s = math.ceil(refusal.retry_after_ms / 1000)
        headers['Retry-After'] = str(max(_MIN_RETRY_AFTER_S, wait_s))
    return headers


def honest_outcome(code: int, *, may_have_run: bool) -> str:
    """Name the outcome that a refusal may claim.

    :param code: result code of the refusal.
    :param may_have_run: whether the request was handed to an endpoint and
        not settled as not run.
    :returns: outcome name.
    """
    if info_of(code).was_not_run and not may_have_run:
        return outcomes.NOT_RUN
    return outcomes.UNKNOWN


def _error_document(refusal: Refusal) -> dict[str, Any]:
    info = info_of(refusal.code)
    detail = f': {refusal.detail}' if refusal.detail else ''
    return {
        'error': {
            'message': f'{info.text}{detail}',
            'type': info.error_type,
            'code': str(int(info.code)),
            'param': None,
        },
    }
