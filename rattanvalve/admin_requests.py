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
from rattanvalve.resultcodes import ResultCode, info_of

__all__ = (
    'CONTEXT',
    'MIDDLEWARES',
    'OPERATOR',
    'AdminContext',
    'AdminError',
    'conflict_error',
)

#: Seconds after which a refused change may be sent again.
RETRY_AFTER_S = 5
_READING_METHODS = frozenset(('GET', 'HEAD'))


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminContext:
    """What the administration API acts on.

    ``apply`` writes a configuration by conditional update: configuration,
    expected generation, author, change id; it returns the new generation.
    ``refresh`` reads the newest configuration from the store. ``status`` and
    ``explain`` describe this process and one program or request as JSON,
    ``status_of_all`` all entries of the cell.
    ``begin_repair`` has a malformed stored view replaced, and tells whether
    the stored configuration is malformed and must be written again.
    ``record`` and ``audit`` write and read the audit records.
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
    """A request that is answered with a result code."""

    def __init__(self, code: ResultCode, detail: str, **extra: Any) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.extra = extra


CONTEXT = web.AppKey('context', AdminContext)
OPERATOR = web.RequestKey('operator', str)


def conflict_error(context: AdminContext, detail: str) -> AdminError:
    """Describe a conflict by the newest generation known.

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
        # The winner's change may not have reached this process yet.
        with suppress(StoreError):
            await context.refresh()
        return _error_response(context, conflict_error(context, str(error)))
    except StoreError as error:
        return _error_response(
            context,
            AdminError(ResultCode.STORE_UNAVAILABLE, str(error)),
        )


@web.middleware
async def _report_size(request, handler):
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
    # The digest of a random key is compared, so timing reveals nothing.
    names = {known: name for name, known in context.operators.items()}
    if digest not in names:
        raise AdminError(ResultCode.KEY_UNKNOWN, 'unknown operator key')
    name = names[digest]
    if request.method not in _READING_METHODS and name in context.viewers:
        raise AdminError(ResultCode.NOT_PERMITTED, f'{name} may only read')
    request[OPERATOR] = name
    return await handler(request)


def _error_response(context: AdminContext, error: AdminError) -> web.Response:
    info = info_of(error.code)
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
    is_retried = info.http_status == HTTPStatus.SERVICE_UNAVAILABLE
    headers = {'Retry-After': str(RETRY_AFTER_S)} if is_retried else {}
    return web.json_response(body, status=info.http_status, headers=headers)


MIDDLEWARES = (_report_errors, _authenticate, _report_size)
