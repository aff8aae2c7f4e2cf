"""The callers' side of the gateway: reads requests, writes responses."""

import asyncio
import time
from http import HTTPStatus

from aiohttp import web

from rattanvalve.busy_connections import BusyConnections
from rattanvalve.errors import BodyError, QuorumError
from rattanvalve.gateway.caller_sink import CallerSink
from rattanvalve.gateway.calls import Call, Refusal, header_number, read_turn
from rattanvalve.gateway.forwarding import Forwarder
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.gateway.rate_client import RateClient
from rattanvalve.gateway.start_wait import StartWait
from rattanvalve.gateway.trace import Trace
from rattanvalve.gateway.turns import TurnKeeper
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform import names
from rattanvalve.platform.requests import forwarded_headers
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.exposition import MetricsPage
from rattanvalve.sharedstate.parts import SharedState
from rattanvalve.sharedstate.rules import Route, Workspace
from rattanvalve.turn_messages import TakeRate

__all__ = ('Ingress',)

STARTING_RETRY_AFTER_S = 0.5
#: Another gateway can serve the request at once.
CUT_OFF_RETRY_AFTER_S = 0.1
#: Longest wait of a request of a begun program for the rate. Callers leave a
#: stream that has no event for two seconds.
RATE_WAIT_MAX_S = 1.6
#: Most of its time that such a request waits.
RATE_WAIT_SHARE = 0.75
PRIORITY_MAX = 9

_log = part_logger(LogPart.GATEWAY)


class Ingress:
    """Handler of the callers' requests.

    :param state: rules and identity of this process.
    :param forwarder: sends requests to endpoints.
    :param turns: keeper of turns.
    :param calls: calls of the turn store.
    :param page: metrics of this process.
    """

    def __init__(
        self,
        state: SharedState,
        forwarder: Forwarder,
        turns: TurnKeeper,
        calls: MemberCalls,
        page: MetricsPage,
    ) -> None:
        self._page = page
        self.is_stopping = False
        self.busy = BusyConnections()
        self._state = state
        self._forwarder = forwarder
        self._turns = turns
        self._calls = calls
        self._rates = RateClient(calls)
        self._start_wait = StartWait(self.is_able, time.monotonic())

    def is_able(self) -> bool:
        """Return whether programs can be served.

        :returns: whether there are rules, and turn stores that answer.
        """
        return bool(self._state.rules.version) and not self._calls.is_cut_off()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request.

        :param request: request of a caller.
        :returns: the response, which was sent.
        """
        received_s = time.monotonic()
        transport = request.transport
        if transport is None:
            # We closed the connection while the request came in, so it must
            # not run; nobody gets this response.
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        sink = CallerSink(request, is_last=self.is_stopping)
        with self.busy.answering(transport):
            await self._answer(request, sink, received_s)
        return sink.response

    async def _answer(
        self,
        request: web.BaseRequest,
        sink: CallerSink,
        received_s: float,
    ) -> None:
        trace = Trace()
        outcome = 'cancelled'
        try:
            refusal = await self._serve(request, sink, trace, received_s)
            outcome = 'answered'
            if refusal is not None:
                outcome = refusal.code.name.lower()
                self._state.metrics.count_code(refusal.code)
                if sink.response is None:
                    await sink.refuse(refusal)
        finally:
            self._log_outcome(request, trace, outcome, received_s)

    async def _serve(
        self,
        request: web.BaseRequest,
        sink: CallerSink,
        trace: Trace,
        received_s: float,
    ) -> Refusal | None:
        await self._start_wait.wait()
        waited_s = time.monotonic() - received_s
        trace.start_wait_ms = round(waited_s * 1000)
        admitted = self._admit(request)
        if isinstance(admitted, Refusal):
            # The rest of the body is not read, so nothing may follow it.
            return admitted
        route, workspace = admitted
        try:
            body = await self._read_body(request)
        except BodyError:
            return Refusal(ResultCode.BODY_TOO_LARGE)
        except TimeoutError:
            return Refusal(ResultCode.REQUEST_TIMEOUT)
        call = _call_of(request, body, route, workspace, received_s)
        trace.workspace = call.workspace_name
        trace.route = route.name
        if self._calls.is_cut_off():
            return self._refuse_cut_off(sink)
        refusal = await self._prepare(call, sink, trace)
        if refusal is not None:
            return refusal
        refusal = await self._forwarder.forward(call, sink, trace)
        if refusal is not None and not trace.run_count and route.keeps_turns:
            self._turns.release(call)
        return refusal

    async def _prepare(
        self,
        call: Call,
        sink: CallerSink,
        trace: Trace,
    ) -> Refusal | None:
        """Get all that a request needs before it is sent.

        The budget comes before the rate: a program without a budget uses up
        nothing of its workspace's rate.
        """
        if call.route.keeps_turns:
            event_tokens = self._state.rules.event_tokens(call.route)
            refusal = await self._turns.prepare(call, event_tokens)
            if refusal is not None:
                return refusal
        try:
            refusal = await self._take_rate(call, trace)
        except QuorumError:
            refusal = self._refuse_cut_off(sink)
        if refusal is not None and call.route.keeps_turns:
            self._turns.release(call)
        return refusal

    def _refuse_cut_off(self, sink: CallerSink) -> Refusal:
        """Refuse a request; the caller's next one goes to another gateway."""
        sink.close_after()
        return Refusal(
            ResultCode.TURN_STORE_UNAVAILABLE,
            CUT_OFF_RETRY_AFTER_S,
        )

    def _admit(
        self,
        request: web.BaseRequest,
    ) -> tuple[Route, Workspace | None] | Refusal:
        rules = self._state.rules
        if not rules.version:
            return Refusal(ResultCode.STARTING, STARTING_RETRY_AFTER_S)
        host = request.headers.get('Host', '').partition(':')[0]
        path = request.raw_path.partition('?')[0]
        route = rules.route_of(host, path)
        if route is None:
            return Refusal(ResultCode.UNKNOWN_PATH)
        if not rules.needs_keys or route.is_open:
            return route, None
        key = request.headers.get(names.CALLER_KEY)
        if key is None:
            return Refusal(ResultCode.KEY_MISSING)
        workspace = rules.workspace_of_key(key)
        if workspace is None:
            return Refusal(ResultCode.KEY_UNKNOWN)
        return route, workspace

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        limits = self._state.rules.limits
        parts = []
        length = 0
        async with asyncio.timeout(limits.header_timeout_ms / 1000):
            async for part in request.content.iter_any():
                length += len(part)
                if length > limits.body_bytes:
                    raise BodyError('the body is too large')
                parts.append(part)
        return b''.join(parts)

    async def _take_rate(self, call: Call, trace: Trace) -> Refusal | None:
        workspace = call.workspace
        if workspace is None or not workspace.rate_per_s:
            return None
        is_start = call.route.keeps_turns and not call.turn.previous_id
        trace.is_start = is_start
        left_s = call.deadline_s - time.monotonic()
        wait_max_s = min(RATE_WAIT_MAX_S, left_s * RATE_WAIT_SHARE)
        message = TakeRate(
            workspace=workspace.name,
            is_start=is_start,
            priority=call.route.priority,
            # A program that has begun is worth a wait.
            wait_max_ms=0 if is_start else max(int(wait_max_s * 1000), 0),
        )
        grant = await self._rates.take(message)
        trace.rate_wait_ms = grant.wait_ms
        wait_s = grant.wait_ms / 1000
        if not grant.is_granted:
            return Refusal(ResultCode.RATE_EXCEEDED, wait_s)
        if wait_s:
            await asyncio.sleep(wait_s)
        return None

    def _log_outcome(
        self,
        request: web.BaseRequest,
        trace: Trace,
        outcome: str,
        received_s: float,
    ) -> None:
        duration_s = time.monotonic() - received_s
        self._page.observe(outcome, duration_s)
        _log.info(
            'request ended',
            extra={
                'request': request.headers.get(names.REQUEST_ID, ''),
                'program': request.headers.get(names.PROGRAM_ID, ''),
                'workspace': trace.workspace,
                'route': trace.route,
                'outcome': outcome,
                'is_start': trace.is_start,
                'start_wait_ms': trace.start_wait_ms,
                'wait_ms': trace.rate_wait_ms,
                'status': trace.status,
                'endpoints': trace.endpoints,
                'reasons': trace.reasons,
                'expected_count': round(trace.expected_count, 1),
                'rules_version': self._state.rules.version,
                'duration_ms': round(duration_s * 1000),
            },
        )


def _call_of(
    request: web.BaseRequest,
    body: bytes,
    route: Route,
    workspace: Workspace | None,
    received_s: float,
) -> Call:
    headers = request.headers
    left_ms = header_number(headers.get(names.DEADLINE_MS))
    limit_ms = min(route.timeout_ms, left_ms or route.timeout_ms)
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return Call(
        request_id=headers.get(names.REQUEST_ID, ''),
        method=request.method,
        target=request.raw_path,
        headers=forwarded_headers(request.raw_headers),
        body=body,
        route=route,
        workspace=workspace,
        received_s=received_s,
        deadline_s=received_s + limit_ms / 1000,
        turn=read_turn(headers),
        priority=min(max(priority, 0), PRIORITY_MAX),
    )
