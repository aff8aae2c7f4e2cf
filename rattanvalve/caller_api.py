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
from rattanvalve.open_requests import (
    KeyWithdrawnError,
    OpenRequest,
    OpenRequests,
)
from rattanvalve.outcome_lookup import OutcomeLookup
from rattanvalve.relay import Relay
from rattanvalve.request_checks import check_id, check_service_path
from rattanvalve.responder import CallerDisconnectedError, Responder
from rattanvalve.resultcodes import ResultCode

__all__ = ('RUNNER_OPTIONS', 'CallerApi', 'build_caller_app')

#: Options of ``AppRunner`` that the application requires. Handlers are
#: cancelled when their caller disconnects. Headers up to ``max_field_size``
#: bytes reach our own check, which refuses them in the protocol's format. The
#: drain precedes the shutdown of aiohttp, so requests that are still open are
#: cancelled after a short timeout, in seconds.
RUNNER_OPTIONS = {
    'handler_cancellation': True,
    'max_field_size': 65_536,
    'shutdown_timeout': 1.0,
}

_METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)

_log = part_logger(LogPart.CALLER)
_RequestRunner = Callable[[OpenRequest, Responder], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class CallerApi:
    """Handlers of the callers' API and their dependencies."""

    blackboard: Blackboard
    metrics: Metrics
    relay: Relay
    open_requests: OpenRequests
    outcome_lookup: OutcomeLookup
    limits: CallLimits

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/chat/completions``.

        :param request: request of the caller.
        :returns: response that was sent, complete or as a stream.
        :raises RefusedError: if it is refused before its hand-over.
        """
        caller = self._authenticate(request)
        run_request = partial(self._run_chat, request, caller)
        return await self._serve(request, caller, run_request)

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Handle any method of ``/services/{service}/{path}``.

        :param request: request of the caller.
        :returns: response that was sent, complete or as a stream.
        :raises RefusedError: if it is refused before its hand-over.
        """
        _, _, service, tail = request.rel_url.raw_path.split('/', 3)
        query = request.rel_url.raw_query_string
        path = accept(check_service_path(f'/{tail}', query))
        method = request.method
        catalog = self.blackboard.catalog
        caller = self._authenticate(
            request,
            is_open_route=catalog.is_open_route(service, method, path.decoded),
        )
        self._check_service(service, method)
        begin = replace(
            accept(build_begin(request.headers, caller, catalog)),
            service_name=service,
            is_repeatable=catalog.is_repeatable(service, method, path.decoded),
        )
        run_request = partial(self._run_service, request, begin, path.raw)
        return await self._serve(request, caller, run_request)

    async def models(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/models``.

        :param request: request of the caller.
        :returns: list of the models in the inventory.
        :raises RefusedError: if the caller is not authenticated.
        """
        self._authenticate(request)
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
        """Handle ``GET /v1/outcomes/{idempotency-key}``.

        :param request: request of the caller.
        :returns: outcome and recorded response.
        :raises RefusedError: if it is refused or the key has no record.
        """
        caller = self._authenticate(request)
        key = accept(
            check_id('Idempotency-Key', request.match_info['key']),
        )
        headers = CIMultiDict(request.headers)
        headers['Idempotency-Key'] = key
        catalog = self.blackboard.catalog
        begin = accept(build_begin(headers, caller, catalog))
        async with self.open_requests.enter(OpenRequest(caller.key_digest)):
            lookup_result = await self.outcome_lookup.find(
                begin,
                time.monotonic() + self.limits.request_timeout_s,
            )
        return _json_response(accept(lookup_result))

    async def health(self, request: web.Request) -> web.Response:
        """Handle ``GET /healthz``.

        :param request: request of the load balancer.
        :returns: status 200 as long as the process runs.
        """
        return _json_response({'status': 'ok'})

    async def ready(self, request: web.Request) -> web.Response:
        """Handle ``GET /readyz``.

        :param request: request of the load balancer.
        :returns: status 200, or 503 while starting or stopping.
        """
        if not self.blackboard.catalog.generation:
            return refusal_response(Refusal(code=ResultCode.STARTING))
        if self.blackboard.readiness.is_ready():
            return _json_response({'status': 'ready'})
        return refusal_response(Refusal(code=ResultCode.STOPPING))

    def _authenticate(
        self,
        request: web.Request,
        *,
        is_open_route: bool = False,
    ) -> Caller:
        catalog = self.blackboard.catalog
        if not catalog.generation:
            # Without a configuration valid keys would be refused as unknown.
            raise RefusedError(Refusal(code=ResultCode.STARTING))
        return accept(
            find_caller(
                request.headers,
                catalog,
                is_open_route=is_open_route,
            ),
        )

    def _check_service(self, service: str, method: str) -> None:
        definition = self.blackboard.catalog.services.get(service)
        if definition is None:
            raise RefusedError(Refusal(code=ResultCode.UNKNOWN_SERVICE))
        if definition.kind != 'plain':
            # Engines are reachable by model name only; a direct request
            # could release caches of other workspaces.
            raise RefusedError(Refusal(code=ResultCode.NOT_PERMITTED))
        if method not in _METHODS:
            raise RefusedError(Refusal(code=ResultCode.METHOD_NOT_ALLOWED))

    async def _run_service(
        self,
        request: web.Request,
        begin: Begin,
        path: str,
        open_request: OpenRequest,
        responder: Responder,
    ) -> None:
        call = await service_call(
            request, begin, path, open_request, self.limits
        )
        await self.relay.run(call, responder)

    async def _run_chat(
        self,
        request: web.Request,
        caller: Caller,
        open_request: OpenRequest,
        responder: Responder,
    ) -> None:
        call = await chat_call(
            request,
            caller,
            open_request,
            self.limits,
            self.blackboard,
        )
        await self.relay.run(call, responder)

    async def _serve(
        self,
        request: web.Request,
        caller: Caller,
        run_request: _RequestRunner,
    ) -> web.StreamResponse:
        """Run a request that a withdrawn key can end.

        There is no ``await`` between the check of the key and the
        registration of the request, so no withdrawal is missed in between.
        """
        self.metrics.count(Counter.REQUESTS)
        is_closing = self.blackboard.readiness.is_stopping
        responder = Responder(request, is_closing=is_closing)
        open_request = OpenRequest(caller.key_digest)
        try:
            await self._run_or_refuse(open_request, responder, run_request)
        except CallerDisconnectedError:
            self._count_disconnect()
        except asyncio.CancelledError:
            self._count_disconnect()
            raise
        # After a disconnect, aiohttp discards this response.
        return responder.response or web.Response()

    async def _run_or_refuse(
        self,
        open_request: OpenRequest,
        responder: Responder,
        run_request: _RequestRunner,
    ) -> None:
        """Run a request; a withdrawn key or an error becomes a refusal."""
        try:
            async with self.open_requests.enter(open_request):
                return await run_request(open_request, responder)
        except (CallerDisconnectedError, RefusedError, web.HTTPException):
            raise
        except KeyWithdrawnError:
            code = ResultCode.KEY_WITHDRAWN
        except Exception as error:
            # The text of an unexpected error may contain request data.
            _log.error('request failed: %s', type(error).__name__)
            code = ResultCode.INTERNAL_ERROR
        await self.relay.refuse(Refusal(code=code), open_request, responder)

    def _count_disconnect(self) -> None:
        self.metrics.count(Counter.CALLER_DISCONNECTED)
        self.metrics.count_code(ResultCode.CALLER_GONE)


def build_caller_app(api: CallerApi) -> web.Application:
    """Build the application of the callers' API.

    It must run with :data:`RUNNER_OPTIONS`.

    :param api: handlers of the routes.
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
