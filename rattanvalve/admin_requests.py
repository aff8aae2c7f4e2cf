"""Context, authentication and error responses of the administration API."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from aiohttp import web

from rattanvalve.blackboard import Blackboard
from rattanvalve.counters import Metrics
from rattanvalve.errors import (
    ConfigTooLargeError,
    StoreConflictError,
    StoreError,
)
from rattanvalve.inventory import Config
from rattanvalve.keys import key_digest
from rattanvalve.resultcodes import ResultCode, result_code_info

__all__ = (
    'CONTEXT',
    'MIDDLEWARES',
    'OPERATOR',
    'AdminContext',
    'AdminError',
    'conflict_error',
)

#: Seconds in the ``Retry-After`` header of a 503 response.
RETRY_AFTER_S = 5
_READ_ONLY_METHODS = frozenset(('GET', 'HEAD'))


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminContext:
    """State and operations that the administration API uses.

    ``apply`` writes a configuration by conditional update; its arguments are
    the configuration, the expected generation, the author and the change id,
    and it returns the new generation.
    ``refresh`` reads the newest configuration from the store.
    ``status`` returns the state of this process as JSON, ``status_of_all``
    that of all entries of the cell, ``explain`` that of one program or
    request.
    ``begin_repair`` requests the replacement of a malformed stored view and
    returns whether the stored configuration is malformed and must be
    rewritten.
    ``record`` and ``audit`` write and read audit records.
    ``operators`` maps operator names to key digests; ``viewers`` names the
    operators that may only read.
    """

    blackboard: Blackboard
    metrics: Metrics
    operators: dict[str, str]
    apply: Callable[[Config, int, str, str], Awaitable[int]]
    refresh: Callable[[], Awaitable[None]]
    status: Callable[[], dict[str, Any]]
    status_of_all: Callable[[], Awaitable[dict[str, Any]]]
    explain: Callable[[str, str, str], Awaitable[dict[str, Any]]]
    record: Callable[[int, dict[str, Any]], Awaitable[None]]
    audit: Callable[[int], Awaitable[list[dict[str, Any]]]]
    begin_repair: Callable[[], bool] = bool
    viewers: frozenset[str] = field(default_factory=frozenset)


class AdminError(Exception):
    """The request fails; the response contains this result code."""

    def __init__(self, code: ResultCode, detail: str, **extra: Any) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.extra = extra


CONTEXT = web.AppKey('context', AdminContext)
OPERATOR = web.RequestKey('operator', str)


def conflict_error(context: AdminContext, detail: str) -> AdminError:
    """Build the error of a write conflict.

    The response contains the newest generation known to this process.

    :param context: context of the administration API.
    :param detail: which change was refused.
    :returns: error to raise.
    """
    return AdminError(
        ResultCode.CONFLICT,
        detail,
        generation=context.blackboard.catalog.generation,
    )


@web.middleware
async def _report_errors(request, handler):
    context = request.app[CONTEXT]
    try:
        return await handler(request)
    except AdminError as error:
        return _error_response(context, error)
    except StoreConflictError as error:
        # This process may not have loaded the conflicting change yet.
        with suppress(StoreError):
            await context.refresh()
        return _error_response(context, conflict_error(context, str(error)))
    except StoreError as error:
        return _error_response(
            context,
            AdminError(ResultCode.STORE_UNAVAILABLE, str(error)),
        )


@web.middleware
async def _report_oversized_body(request, handler):
    try:
        return await handler(request)
    except (ConfigTooLargeError, web.HTTPRequestEntityTooLarge) as error:
        raise AdminError(
            ResultCode.CONFIGURATION_TOO_LARGE,
            str(error),
        ) from error


@web.middleware
async def _authenticate(request, handler):
    context = request.app[CONTEXT]
    scheme, _, key = request.headers.get('Authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise AdminError(ResultCode.KEY_MISSING, 'an operator key is needed')
    digest = key_digest(key.strip())
    # Keys are random and only digests are compared, so the duration of the
    # lookup reveals nothing about a key.
    names_by_digest = {
        operator_digest: name
        for name, operator_digest in context.operators.items()
    }
    if digest not in names_by_digest:
        raise AdminError(ResultCode.KEY_UNKNOWN, 'unknown operator key')
    name = names_by_digest[digest]
    if request.method not in _READ_ONLY_METHODS and name in context.viewers:
        raise AdminError(ResultCode.NOT_PERMITTED, f'{name} may only read')
    request[OPERATOR] = name
    return await handler(request)


def _error_response(context: AdminContext, error: AdminError) -> web.Response:
    info = result_code_info(error.code)
    context.metrics.count_code(error.code)
    body = {
        'error': {
            'message': f'{info.text}: {error.detail}',
            'type': info.error_type,
            'code': int(error.code),
            'param': None,
            **error.extra,
        },
    }
    is_retryable = info.http_status == HTTPStatus.SERVICE_UNAVAILABLE
    headers = {'Retry-After': str(RETRY_AFTER_S)} if is_retryable else {}
    return web.json_response(body, status=info.http_status, headers=headers)


MIDDLEWARES = (_report_errors, _authenticate, _report_oversized_body)
