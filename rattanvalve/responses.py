"""Error responses and headers in the format of chat completions."""

import math
from typing import Any

import msgspec

from rattanvalve import outcomes
from rattanvalve.messages import Header, Refusal
from rattanvalve.resultcodes import result_code_info

__all__ = (
    'OUTCOME_HEADER',
    'PROGRAM_HEADER',
    'allowed_headers',
    'error_body',
    'error_event',
    'error_headers',
    'refusal_outcome',
)

OUTCOME_HEADER = 'Rattanvalve-Outcome'
PROGRAM_HEADER = 'Rattanvalve-Program'

#: Statuses that carry ``Retry-After`` (RFC 9110, RFC 6585).
_RETRY_STATUSES = frozenset((429, 503))
_MIN_RETRY_AFTER_S = 1

#: Response headers forwarded to the caller. Other headers may describe the
#: connection to the server or contain internal host names.
_ALLOWED_HEADERS = frozenset(
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
    """Filter the response headers that are forwarded to the caller.

    :param headers: headers of the endpoint.
    :returns: headers of the allow-list whose values are printable, so that
        they contain no line breaks.
    """
    return {
        header.name: header.content
        for header in headers
        if header.name.lower() in _ALLOWED_HEADERS
        and header.content.isprintable()
    }


def error_body(refusal: Refusal) -> bytes:
    """Encode the JSON body of a refusal.

    :param refusal: refusal with a result code.
    :returns: JSON text in the error format of the protocol.
    """
    return msgspec.json.encode(_error_document(refusal))


def error_event(refusal: Refusal) -> bytes:
    """Encode a refusal as a server-sent event for a started stream.

    :param refusal: refusal with a result code.
    :returns: one event, including the blank line that ends it.
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
    :param outcome: outcome name from :func:`refusal_outcome`.
    :returns: headers; ``Retry-After`` is in whole seconds, at least 1.
    """
    info = result_code_info(refusal.code)
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


def refusal_outcome(code: int, *, may_have_run: bool) -> str:
    """Return the outcome to report with a refusal.

    :param code: result code of the refusal.
    :param may_have_run: whether the request was dispatched to an endpoint and
        not settled as not run.
    :returns: ``not_run`` if that is certain, else ``unknown``.
    """
    if result_code_info(code).was_not_run and not may_have_run:
        return outcomes.NOT_RUN
    return outcomes.UNKNOWN


def _error_document(refusal: Refusal) -> dict[str, Any]:
    info = result_code_info(refusal.code)
    detail = f': {refusal.detail}' if refusal.detail else ''
    return {
        'error': {
            'message': f'{info.text}{detail}',
            'type': info.error_type,
            'code': str(int(info.code)),
            'param': None,
        },
    }
