"""HTTP API of callers: chat completions, services and outcomes."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from rattanvalve.blackboard import Blackboard
from rattanvalve.call_headers import (
    Caller,
    build_begin,
    find_caller,
)
from rattanvalve.caller_errors import (
    RefusedError,
    accept,
    refusal_middleware,
    refusal_response,
)
from rattanvalve.calls import (
    CHAT_PATH,
    CallLimits,
    chat_call,
    service_call,
)
from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Begin, Refusal
from rattanvalve.outcome_lookup import OutcomeLookup
from rattanvalve.relay import Relay
from rattanvalve.request_checks import check_id, check_service_path
from rattanvalve.responder import CallerGoneError, Responder
from rattanvalve.resultcodes import ResultCode
from rattanvalve.streams import KeyWithdrawnError, OpenRequest, OpenRequests

__all__ = ('RUNNER_OPTIONS', 'CallerApi', 'build_caller_app')

#: Options of ``AppRunner`` that the application relies on: handlers are
#: cancelled when their caller disconnects, and headers up to this size reach
#: our own check, which answers in the protocol's format. At the end of a stop
#: open requests have had their time already, so they are soon cancelled.
RUNNER_OPTIONS = {
    'handler_cancellation': True,
    'max_field_size': 65_536,
    'shutdown_timeout': 1.0,
}

_METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)

_log = part_logger(LogPart.CALLER)
_Work = Callable[[OpenRequest, Responder], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class CallerApi:
    """Handlers of the callers' API and what they use."""

    blackboard: Blackboard
    metrics: Metrics
    relay: Relay
    open_requests: OpenRequests
    outcome_lookup: OutcomeLookup
    limits: CallLimits

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/chat/completions``.

        :param request: request of the caller.
        :returns: the response.
        """
        caller = self._caller(request)
        work = partial(self._run_chat, request, caller)
        return await self._open(request, caller, work)

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Answer any method of ``/services/{service}/{path}``.

        :param request: request of the caller.
        :returns: the response.
        """
        _, _, service, tail = request.rel_url.raw_path.split('/', 3)
        query = request.rel_url.raw_query_string
        path = accept(check_service_path(f'/{tail}', query))
        method = request.method
        catalog = self.blackboard.catalog
        caller = self._caller(
            request,
            is_open_route=catalog.is_open_route(service, method, path.plain),
        )
        self._check_service(service, method)
        begin = replace(
            accept(build_begin(request.headers, caller, catalog)),
            service_name=service,
            is_repeatable=catalog.is_repeatable(service, method, path.plain),
        )
        work = partial(self._run_service, request, begin, path.raw)
        return await self._open(request, caller, work)

    async def models(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/models``.

        :param request: request of the caller.
        :returns: the models of the inventory.
        """
        self._caller(request)
        models = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'rattanvalve',
            }
            for name in self.blackboard.catalog.models
        ]
        return _json_response({'object': 'list', 'data': models})

    async def outcome(self, request: web.Request) -> web.StreamResponse:
        """Answer ``GET /v1/outcomes/{idempotency-key}``.

        :param request: request of the caller.
        :returns: the outcome and the recorded response.
        """
        caller = self._caller(request)
        key = accept(
            check_id('Idempotency-Key', request.match_info['key']),
        )
        headers = CIMultiDict(request.headers)
        headers['Idempotency-Key'] = key
        catalog = self.blackboard.catalog
        begin = accept(build_begin(headers, caller, catalog))
        async with self.open_requests.enter(OpenRequest(caller.key_digest)):
            found = await self.outcome_lookup.find(
                begin,
                time.monotonic() + self.limits.request_timeout_s,
            )
        return _json_response(accept(found))

    async def health(self, request: web.Request) -> web.Response:
        """Answer ``GET /healthz``.

        :param request: request of the load balancer.
        :returns: status 200.
        """
        return _json_response({'status': 'ok'})

    async def ready(self, request: web.Request) -> web.Response:
        """Answer ``GET /readyz``.

        :param request: request of the load balancer.
        :returns: status 200, or 503 while starting or stopping.
        """
        if not self.blackboard.catalog.generation:
            return refusal_response(Refusal(code=ResultCode.STARTING))
        if self.blackboard.readiness.is_ready():
            return _json_response({'status': 'ready'})
        return refusal_response(Refusal(code=ResultCode.STOPPING))

    def _caller(
        self,
        request: web.Request,
        *,
        is_open_route: bool = False,
    ) -> Caller:
        catalog = self.blackboard.catalog
        if not catalog.generation:
            # Without a configuration every valid key would look unknown.
            raise RefusedError(Refusal(code=ResultCode.STARTING))
        return accept(
            find_caller(
                request.headers,
                catalog,
                is_open_route=is_open_route,
            ),
        )

    def _check_service(self, service: str, method: str) -> None:
        entry = self.blackboard.catalog.services.get(service)
        if entry is None:
            raise RefusedError(Refusal(code=ResultCode.UNKNOWN_SERVICE))
        if entry.kind != 'plain':
            # Engines are used through models only; a direct request could
            # release the cache of other workspaces.
            raise RefusedError(Refusal(code=ResultCode.NOT_PERMITTED))
        if method not in _METHODS:
            raise RefusedError(Refusal(code=ResultCode.METHOD_NOT_ALLOWED))

    async def _run_service(
        self,
        request: web.Request,
        begin: Begin,
        path: str,
        entry: OpenRequest,
        responder: Responder,
    ) -> None:
        call = await service_call(request, begin, path, entry, self.limits)
        await self.relay.run(call, responder)

    async def _run_chat(
        self,
        request: web.Request,
        caller: Caller,
        entry: OpenRequest,
        responder: Responder,
    ) -> None:
        call = await chat_call(
            request,
            caller,
            entry,
            self.limits,
            self.blackboard,
        )
        await self.relay.run(call, responder)

    async def _open(
        self,
        request: web.Request,
        caller: Caller,
        work: _Work,
    ) -> web.StreamResponse:
        """Run the work of a request as one that can be ended.

        No step awaits between the check of the key and the registration, so
        that no key can be withdrawn unnoticed in between.
        """
        self.metrics.count(Counter.REQUESTS)
        is_closing = self.blackboard.readiness.is_stopping
        responder = Responder(request, is_closing=is_closing)
        entry = OpenRequest(caller.key_digest)
        try:
            await self._work_or_refuse(entry, responder, work)
        except CallerGoneError:
            self._count_gone()
        except asyncio.CancelledError:
            self._count_gone()
            raise
        # Without a caller, the server drops this response.
        return responder.response or web.Response()

    async def _work_or_refuse(
        self,
        entry: OpenRequest,
        responder: Responder,
        work: _Work,
    ) -> None:
        """Do the work; what ends it early becomes a refusal."""
        try:
            async with self.open_requests.enter(entry):
                return await work(entry, responder)
        except (CallerGoneError, RefusedError, web.HTTPException):
            raise
        except KeyWithdrawnError:
            code = ResultCode.KEY_WITHDRAWN
        except Exception as error:
            # The text of an unexpected error may hold a part of the request.
            _log.error('request failed: %s', type(error).__name__)
            code = ResultCode.INTERNAL_ERROR
        await self.relay.refuse(Refusal(code=code), entry, responder)

    def _count_gone(self) -> None:
        self.metrics.count(Counter.CALLER_DISCONNECTED)
        self.metrics.count_code(ResultCode.CALLER_GONE)


def build_caller_app(api: CallerApi) -> web.Application:
    """Build the application of the callers' API.

    Run it with :data:`RUNNER_OPTIONS`.

    :param api: handlers.
    :returns: application with all routes.
    """
    app = web.Application(
        middlewares=[refusal_middleware(api.metrics)],
        client_max_size=api.limits.max_body_bytes,
    )
    app.router.add_post(CHAT_PATH, api.chat)
    app.router.add_get('/v1/models', api.models)
    app.router.add_get('/v1/outcomes/{key}', api.outcome)
    app.router.add_route('*', '/services/{service}/{path:.*}', api.service)
    app.router.add_get('/healthz', api.health)
    app.router.add_get('/readyz', api.ready)
    return app


def _json_response(document: dict[str, Any]) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document),
        content_type='application/json',
    )
