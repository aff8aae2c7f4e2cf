"""Turns refusals and failures of handlers into responses."""

from functools import partial

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from rattanvalve.counters import Metrics
from rattanvalve.errors import RattanvalveError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Refusal
from rattanvalve.responses import error_body, error_headers, honest_outcome
from rattanvalve.resultcodes import ResultCode, info_of

__all__ = ('RefusedError', 'refusal_middleware', 'refusal_response')

_HTTP_CODES = {
    400: ResultCode.BAD_FIELD,
    404: ResultCode.UNKNOWN_PATH,
    405: ResultCode.METHOD_NOT_ALLOWED,
    413: ResultCode.BODY_TOO_LARGE,
}

_log = part_logger(LogPart.CALLER)


class RefusedError(RattanvalveError):
    """A request is refused before it was handed over.

    :param refusal: refusal for the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def refusal_response(refusal: Refusal) -> web.Response:
    """Build the response of a request that was not handed over.

    :param refusal: refusal for the caller.
    :returns: response in the protocol's error format.
    """
    outcome = honest_outcome(refusal.code, may_have_run=False)
    return web.Response(
        status=info_of(refusal.code).http_status,
        headers=error_headers(refusal, '', outcome),
        body=error_body(refusal),
    )


def refusal_middleware(metrics: Metrics) -> Middleware:
    """Make the middleware that answers and counts refusals.

    :param metrics: counters.
    :returns: middleware for ``aiohttp.web.Application``.
    """
    return web.middleware(partial(_answer, metrics))


async def _answer(
    metrics: Metrics,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    try:
        return await handler(request)
    except RefusedError as error:
        refusal = error.refusal
    except web.HTTPException as error:
        code = _HTTP_CODES.get(error.status, ResultCode.INTERNAL_ERROR)
        refusal = Refusal(code=code)
    except Exception as error:
        # The text of an unexpected error may hold a part of the request.
        _log.error('handler failed: %s', type(error).__name__)
        refusal = Refusal(code=ResultCode.INTERNAL_ERROR)
    metrics.count_code(info_of(refusal.code).code)
    return refusal_response(refusal)
