"""Request handler for callers: admission, rate limits and responses."""

import asyncio
import math
import time
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from rattanvalve.busy_connections import BusyConnections
from rattanvalve.clocks import boot_time_s
from rattanvalve.errors import QuorumError
from rattanvalve.gateway.balancing.admission import admission_fields
from rattanvalve.gateway.caller_memory import (
    LIMITED_RETRY_AFTER_S,
    CallerMemoryError,
)
from rattanvalve.gateway.caller_sink import CallerSink
from rattanvalve.gateway.calls import Call, Refusal
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.forwarding import Forwarder
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.gateway.rate_client import RateClient
from rattanvalve.gateway.reading import RequestReader
from rattanvalve.gateway.start_wait import StartWait
from rattanvalve.gateway.trace import Trace
from rattanvalve.gateway.turns import TurnManager
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform import names
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.exposition import MetricsPage
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.turn_messages import TakeRate

__all__ = ('Ingress',)

#: Short, as another gateway can serve the request at once.
CUT_OFF_RETRY_AFTER_S = 0.1
STOPPING_RETRY_AFTER_S = 0.1
#: Longest wait for the rate limit of a request that continues a program.
#: Callers abandon a stream that has no event for two seconds.
RATE_WAIT_MAX_S = 1.6
#: Largest share of the time before its deadline that such a request waits.
RATE_WAIT_DEADLINE_SHARE = 0.75
#: Validity of a rate grant. A request that is sent later would count in
#: another window of the rate.
GRANT_LIFETIME_S = 2.0

_log = part_logger(LogPart.GATEWAY)


class Ingress:
    """Handles requests of callers from arrival to the log line.

    :param state: rules and identity of this process.
    :param forwarder: sends requests to endpoints.
    :param turns: prepares and settles turns.
    :param calls: client of the turn store members.
    :param page: metrics of this process.
    :param tables: crashes and shared load reports of the endpoints.
    :param has_read_observations: whether limits and crashes of endpoints were
        read since the start.
    """

    def __init__(
        self,
        state: SharedState,
        forwarder: Forwarder,
        turns: TurnManager,
        calls: MemberCalls,
        page: MetricsPage,
        tables: EndpointTables,
        has_read_observations: Callable[[], bool],
    ) -> None:
        self._page = page
        self.is_stopping = False
        #: Monotonic time in seconds at which open connections are cut; set once
        #: the load balancer sends no more requests.
        self.cut_s = math.inf
        self.busy = BusyConnections()
        self._state = state
        self._forwarder = forwarder
        self._reader = RequestReader(state)
        self._turns = turns
        self._calls = calls
        self._rates = RateClient(calls, tables.reports)
        self._crashes = tables.crashes
        self._start_wait = StartWait(
            lambda: self.can_serve_programs() and has_read_observations(),
            time.monotonic(),
        )

    def can_serve_programs(self) -> bool:
        """Return whether this process can serve programs.

        :returns: whether rules and the list of members are loaded and the turn
            store is reachable. Without the list, members may be reachable as
            seeds, but no record can be stored.
        """
        has_rules = bool(self._state.rules.version)
        has_list = bool(self._calls.view().members)
        return has_rules and has_list and not self._calls.is_cut_off()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and send the response.

        :param request: request of a caller.
        :returns: the response, already sent, except on a closed connection.
        """
        received_s = time.monotonic()
        transport = request.transport
        if transport is None:
            # The gateway closed the connection while the request arrived, so
            # the request must not run; this response is not sent.
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        sink = CallerSink(request, lambda: self.is_stopping)
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
        call = await self._reader.read(request, received_s)
        trace.rules_age_ms = self._state.rules_age_ms(time.monotonic())
        if isinstance(call, Refusal):
            return call
        trace.workspace = call.workspace_name
        trace.route = call.route.name
        if call.deadline_s > self.cut_s:
            # The response might not end before the connection is cut.
            return Refusal(ResultCode.STOPPING, STOPPING_RETRY_AFTER_S)
        refusal = await self._crashes.decide(call)
        if refusal is not None:
            return refusal
        if self._calls.is_cut_off():
            return self._refuse_cut_off(sink)
        try:
            refusal = await self._prepare(call, sink, trace)
            refusal = refusal or _hold_context(call, sink)
            return refusal or await self._forwarder.forward(call, sink, trace)
        except BaseException:
            # The error and its frames refer to each other and keep the call
            # until the next collection of such cycles.
            call.drop_payload()
            raise
        finally:
            # Also runs if the caller disconnects while the request waits.
            event_tokens = self._state.rules.event_tokens(call.route)
            self._turns.settle(call, call.forwarded_event_count * event_tokens)

    async def _prepare(
        self,
        call: Call,
        sink: CallerSink,
        trace: Trace,
    ) -> Refusal | None:
        """Reserve budget, load context and acquire a rate grant.

        The rate comes last, so that a request of a program whose budget is
        exhausted, or that may not start, uses none of the workspace's rate.
        """
        event_tokens = self._state.rules.event_tokens(call.route)
        refusal = await self._turns.prepare(call, event_tokens)
        refusal = refusal or self._forwarder.admit_start(call, trace)
        if refusal is not None:
            return refusal
        try:
            return await self._take_rate(call, trace)
        except QuorumError:
            return self._refuse_cut_off(sink)

    def _refuse_cut_off(self, sink: CallerSink) -> Refusal:
        """Refuse a request and close its connection.

        The caller then connects to another gateway.
        """
        sink.close_after()
        return Refusal(
            ResultCode.TURN_STORE_UNAVAILABLE,
            CUT_OFF_RETRY_AFTER_S,
        )

    async def _take_rate(self, call: Call, trace: Trace) -> Refusal | None:
        workspace = call.workspace
        if workspace is None or not workspace.rate_per_s:
            return None
        is_start = call.is_program_start
        trace.is_start = is_start
        remaining_s = call.deadline_s - time.monotonic()
        wait_max_s = min(
            RATE_WAIT_MAX_S, remaining_s * RATE_WAIT_DEADLINE_SHARE
        )
        message = TakeRate(
            workspace=workspace.name,
            is_start=is_start,
            priority=call.route.priority,
            # A request that continues a program may wait; one that starts a
            # program is refused at once.
            wait_max_ms=0 if is_start else max(int(wait_max_s * 1000), 0),
        )
        requested_s = boot_time_s()
        grant = await self._rates.take(message)
        self._forwarder.admission.record_use(
            workspace.name, grant.used_percent, time.monotonic()
        )
        trace.rate_wait_ms = grant.wait_ms
        wait_s = grant.wait_ms / 1000
        if not grant.is_granted:
            return Refusal(ResultCode.RATE_EXCEEDED, wait_s)
        call.grant_expires_s = requested_s + wait_s + GRANT_LIFETIME_S
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
                **admission_fields(trace.admission),
                'start_wait_ms': trace.start_wait_ms,
                'wait_ms': trace.rate_wait_ms,
                'limit_wait_ms': trace.limit_wait_ms,
                'status': trace.status,
                'endpoints': trace.endpoints,
                'connections': trace.connections,
                'limits_per_s': trace.limits_per_s,
                'reasons': trace.reasons,
                'resumed_after': trace.resumed_after,
                'expected_count': round(trace.expected_count, 1),
                'load_age_ms': trace.load_age_ms,
                'rules_version': self._state.rules.version,
                'rules_age_ms': trace.rules_age_ms,
                'duration_ms': round(duration_s * 1000),
            },
        )


def _hold_context(call: Call, sink: CallerSink) -> Refusal | None:
    """Account for the earlier turns in the forwarded payload."""
    try:
        sink.hold(call.payload_bytes - len(call.body))
    except CallerMemoryError:
        return Refusal(ResultCode.CALLERS_LIMITED, LIMITED_RETRY_AFTER_S)
    return None
