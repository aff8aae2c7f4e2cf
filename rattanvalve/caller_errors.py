"""Converts refusals and errors of handlers to HTTP responses."""

from functools import partial
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware
from result import Result

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import InvariantError, RattanvalveError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Refusal
from rattanvalve.open_requests import KeyWithdrawnError
from rattanvalve.responses import error_body, error_headers, refusal_outcome
from rattanvalve.resultcodes import ResultCode, result_code_info

__all__ = (
    'RefusedError',
    'accept',
    'refusal_middleware',
    'refusal_response',
)

_CODE_OF_STATUS = {
    400: ResultCode.BAD_FIELD,
    404: ResultCode.UNKNOWN_PATH,
    405: ResultCode.METHOD_NOT_ALLOWED,
    413: ResultCode.BODY_TOO_LARGE,
}

_log = part_logger(LogPart.CALLER)


class RefusedError(RattanvalveError):
    """A request was refused before its hand-over to an endpoint.

    :param refusal: refusal for the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def accept(checked: Result[Any, Refusal]) -> Any:
    """Unwrap the result of a check.

    :param checked: result of a check.
    :returns: value of a successful check.
    :raises RefusedError: if the result is a refusal.
    """
    return checked.unwrap_or_raise(RefusedError)


def refusal_response(refusal: Refusal) -> web.Response:
    """Build the response to a request that was not handed over.

    :param refusal: refusal for the caller.
    :returns: response in the protocol's error format.
    """
    outcome = refusal_outcome(refusal.code, may_have_run=False)
    return web.Response(
        status=result_code_info(refusal.code).http_status,
        headers=error_headers(refusal, '', outcome),
        body=error_body(refusal),
    )


def refusal_middleware(metrics: Metrics) -> Middleware:
    """Create the middleware that answers and counts refusals.

    :param metrics: counters, by result code.
    :returns: middleware for ``aiohttp.web.Application``.
    """
    return web.middleware(partial(_handle_refusals, metrics))


async def _handle_refusals(
    metrics: Metrics,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    try:
        return await handler(request)
    except Exception as error:
        refusal = _refusal_for(error, metrics)
    metrics.count_code(result_code_info(refusal.code).code)
    return refusal_response(refusal)


def _refusal_for(error: Exception, metrics: Metrics) -> Refusal:
    """Map an exception to the refusal that the caller gets."""
    if isinstance(error, RefusedError):
        return error.refusal
    if isinstance(error, KeyWithdrawnError):
        return Refusal(code=ResultCode.KEY_WITHDRAWN)
    if isinstance(error, web.HTTPException):
        code = _CODE_OF_STATUS.get(error.status, ResultCode.INTERNAL_ERROR)
        return Refusal(code=code)
    if isinstance(error, InvariantError):
        metrics.count(Counter.INVARIANT_VIOLATED)
    # The text of an unexpected error may contain request data.
    _log.error('handler failed: %s', type(error).__name__)
    return Refusal(code=ResultCode.INTERNAL_ERROR)
