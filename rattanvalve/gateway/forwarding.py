"""Sends a request to endpoints until one of them has answered it."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

from rattanvalve.errors import (
    QuorumError,
    ServerBrokenError,
    ServerUnreachableError,
)
from rattanvalve.gateway.calls import Call, Refusal
from rattanvalve.gateway.connection_pool import ConnectionPool
from rattanvalve.gateway.directory import EndpointDirectory
from rattanvalve.gateway.endpoint_health import UsualDurations
from rattanvalve.gateway.events import EventFollower
from rattanvalve.gateway.loads import LoadTable
from rattanvalve.gateway.placement import Demand, choose_endpoint
from rattanvalve.gateway.response_parser import ResponseHead
from rattanvalve.gateway.server_connection import ServerConnection
from rattanvalve.gateway.service_choice import choose_service
from rattanvalve.gateway.sinks import Sink
from rattanvalve.gateway.turns import TurnKeeper
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform import names
from rattanvalve.platform.requests import request_bytes
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.sharedstate.parts import SharedState

__all__ = ('Forwarder', 'Trace')

#: A request with less time left is not sent any more.
SEND_TIME_MIN_S = 0.02
#: An endpoint that does not accept or breaks off is avoided this long.
UNREACHABLE_AVOID_S = 1.0
BROKEN_AVOID_S = 0.3
#: A request that its caller gave up after this time hung at the endpoint.
HUNG_S = 1.5
SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
#: Most endpoints that are asked before a request is refused.
TRIES_MAX = 4
FULL_RETRY_AFTER_S = 0.25
NO_ENDPOINT_RETRY_AFTER_S = 0.5

_log = part_logger(LogPart.GATEWAY)


@dataclass(slots=True)
class Trace:
    """What became of one request, for its log line."""

    workspace: str = ''
    is_start: bool = False
    rate_wait_ms: int = 0
    endpoints: list[str] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)
    run_count: int = 0
    expected_count: float = 0
    status: int = 0
    #: Whether a stream broke off after its beginning.
    is_cut: bool = False


class _AttemptFailedError(Exception):
    """The attempt failed; ``may_have_run`` says whether it may have run."""

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


class Forwarder:
    """Chooses endpoints, sends, repeats what may be repeated.

    :param state: rules and identity of this process.
    :param directory: endpoints.
    :param loads: loads of the endpoints.
    :param pool: connections to the endpoints.
    :param turns: keeper of turns.
    """

    def __init__(
        self,
        state: SharedState,
        directory: EndpointDirectory,
        loads: LoadTable,
        pool: ConnectionPool,
        turns: TurnKeeper,
    ) -> None:
        self._state = state
        self._directory = directory
        self._loads = loads
        self._pool = pool
        self._turns = turns
        self._usual = UsualDurations()

    async def forward(
        self,
        call: Call,
        sink: Sink,
        trace: Trace,
    ) -> Refusal | None:
        """Have a request answered by an endpoint.

        :param call: the request.
        :param sink: gets the response.
        :param trace: is filled for the log.
        :returns: why there is no response, or ``None`` once it is sent.
        """
        demand = self._demand_of(call)
        tried: set[str] = set()
        while True:
            endpoint = self._choose(call, demand, tried, trace)
            if isinstance(endpoint, Refusal):
                return endpoint
            try:
                await self._attempt(call, demand, endpoint, sink, trace)
            except TimeoutError:
                trace.run_count += 1
                return _timed_out(trace)
            except _AttemptFailedError as error:
                tried.add(endpoint.name)
                if not _may_go_on(call, error, trace):
                    return Refusal(ResultCode.OUTCOME_UNKNOWN)
            else:
                return None

    def event_tokens(self, call: Call) -> int:
        """Tell for how many tokens each event of a call is counted.

        :param call: the request.
        :returns: tokens.
        """
        for service, _ in call.route.services:
            rule = self._state.rules.services.get(service)
            if rule and rule.engine:
                return rule.engine.event_tokens
        return 1

    def _choose(
        self,
        call: Call,
        demand: Demand,
        tried: set[str],
        trace: Trace,
    ) -> EndpointEntry | Refusal:
        now_s = time.monotonic()
        if call.deadline_s - now_s < SEND_TIME_MIN_S:
            return _timed_out(trace)
        endpoint = choose_endpoint(
            demand,
            self._directory.usable(demand.service, now_s),
            self._loads,
            self._state.node.zone,
            now_s,
            tried,
        )
        if endpoint is None or len(tried) >= TRIES_MAX:
            return _none_left(trace, has_tried=bool(tried))
        trace.endpoints.append(endpoint.name)
        load = self._loads.of(endpoint)
        trace.expected_count = load.expected_count(now_s)
        return endpoint

    def _demand_of(self, call: Call) -> Demand:
        service = choose_service(call.route, call.request_id)
        rule = self._state.rules.services.get(service)
        engine = rule.engine if rule else None
        return Demand(
            service=service,
            is_generation=engine is not None,
            parts=call.turn.parts,
            cache_tokens=engine.cache_tokens if engine else 0,
        )

    async def _attempt(
        self,
        call: Call,
        demand: Demand,
        endpoint: EndpointEntry,
        sink: Sink,
        trace: Trace,
    ) -> None:
        connection = await self._connect(endpoint)
        self._loads.begin(endpoint)
        if demand.is_generation:
            load = self._loads.of(endpoint)
            load.remember(demand.parts, demand.cache_tokens)
        try:
            with self._observed(call, endpoint, trace):
                async with asyncio.timeout_at(_loop_time(call.deadline_s)):
                    await self._exchange(
                        call,
                        endpoint,
                        connection,
                        sink,
                        trace,
                    )
        except ServerBrokenError as error:
            self._avoid(endpoint, BROKEN_AVOID_S)
            raise _AttemptFailedError('broken', may_have_run=True) from error
        except _AttemptFailedError:
            raise
        except BaseException:
            # The caller has gone or the time is over, so the work ends, too.
            connection.close()
            raise
        finally:
            self._loads.end(endpoint)
            self._pool.give_back(endpoint, connection)

    @contextmanager
    def _observed(
        self,
        call: Call,
        endpoint: EndpointEntry,
        trace: Trace,
    ) -> Iterator[None]:
        """Note in the endpoint's health what becomes of a request."""
        health = self._loads.of(endpoint).health
        sent_s = time.monotonic()
        health.note_sent(call.request_id, sent_s)
        is_failure = True
        is_over = False
        try:
            yield
            is_failure = trace.is_cut or trace.status >= SERVER_ERROR
        except asyncio.CancelledError:
            # A caller that leaves early says nothing of the endpoint.
            is_over = time.monotonic() - sent_s < HUNG_S
            raise
        finally:
            now_s = time.monotonic()
            health.note_answered(call.request_id)
            if is_failure and not is_over:
                health.note_failure(now_s)
            elif not is_failure:
                route = call.route.name
                slowness = self._usual.slowness(route, now_s - sent_s)
                health.note_success(slowness, now_s)

    async def _connect(self, endpoint: EndpointEntry) -> ServerConnection:
        try:
            return await self._pool.take(endpoint)
        except ServerUnreachableError as error:
            self._loads.of(endpoint).health.note_failure(time.monotonic())
            self._avoid(endpoint, UNREACHABLE_AVOID_S)
            raise _AttemptFailedError(
                'unreachable', may_have_run=False
            ) from error

    async def _exchange(
        self,
        call: Call,
        endpoint: EndpointEntry,
        connection: ServerConnection,
        sink: Sink,
        trace: Trace,
    ) -> None:
        left_ms = int((call.deadline_s - time.monotonic()) * 1000)
        payload = request_bytes(call, endpoint.name, left_ms)
        connection.send(call.request_id, payload)
        head = await connection.read_head()
        self._loads.of(endpoint).health.note_answered(call.request_id)
        load_text = head.headers.get(names.SERVER_LOAD, '')
        self._loads.report(endpoint, load_text, time.monotonic())
        trace.status = head.status
        if _is_refusal(head):
            await _read_body(connection)
            raise _AttemptFailedError(
                f'refused {head.status}', may_have_run=False
            )
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success and names.SEAL not in head.headers:
            connection.close()
            raise ServerBrokenError('a success without its seal')
        if is_success and call.route.is_stream:
            trace.is_cut = not await self._pass_stream(
                call,
                connection,
                head,
                sink,
            )
            return
        body = await _read_body(connection)
        if not is_success and _may_repeat_failure(call, head, trace):
            raise _AttemptFailedError(
                f'failed {head.status}', may_have_run=True
            )
        await sink.send_whole(head, body)

    async def _pass_stream(
        self,
        call: Call,
        connection: ServerConnection,
        head: ResponseHead,
        sink: Sink,
    ) -> bool:
        """Pass a stream on; gives whether the server kept it whole."""
        follower = EventFollower()
        await sink.begin(head)
        try:
            while chunk := await connection.read_chunk():
                follower.feed(chunk)
                await sink.write(chunk)
            if not follower.is_between_events():
                raise ServerBrokenError('stream ended within an event')
            await self._commit(call, follower)
        except (ServerBrokenError, QuorumError) as error:
            # Nothing else may follow what the caller has already got.
            connection.close()
            sink.abort()
            return not isinstance(error, ServerBrokenError)
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has gone.
            sink.abort()
            raise
        await sink.finish()
        return True

    async def _commit(self, call: Call, follower: EventFollower) -> None:
        if not call.turn.program_id:
            return
        tokens = follower.event_count * self.event_tokens(call)
        await self._turns.commit(call, follower.output(), tokens)

    def _avoid(self, endpoint: EndpointEntry, duration_s: float) -> None:
        now_s = time.monotonic()
        load = self._loads.of(endpoint)
        if load.avoided_until_s < now_s:
            _log.warning(
                'endpoint avoided',
                extra={
                    'endpoint': endpoint.name,
                    'duration_s': duration_s,
                    'failure_ratio': round(load.health.failure_ratio(now_s), 2),
                },
            )
        load.avoided_until_s = now_s + duration_s


def _loop_time(monotonic_s: float) -> float:
    now_s = asyncio.get_running_loop().time()
    return now_s + monotonic_s - time.monotonic()


def _is_refusal(head: ResponseHead) -> bool:
    return (
        names.NOT_RUN in head.headers
        or head.status == HTTPStatus.MISDIRECTED_REQUEST
    )


async def _read_body(connection: ServerConnection) -> bytes:
    parts = []
    while chunk := await connection.read_chunk():
        parts.append(chunk)
    return b''.join(parts)


def _may_go_on(
    call: Call,
    error: _AttemptFailedError,
    trace: Trace,
) -> bool:
    """Note a failed attempt and tell whether another one may follow."""
    trace.reasons.append(str(error))
    if not error.may_have_run:
        return True
    trace.run_count += 1
    has_attempts = trace.run_count < call.route.max_attempts
    return call.route.is_repeatable and has_attempts


def _may_repeat_failure(call: Call, head: ResponseHead, trace: Trace) -> bool:
    """Tell whether a failure of the server is tried at another one."""
    return (
        head.status >= SERVER_ERROR
        and call.route.is_repeatable
        and trace.run_count + 1 < call.route.max_attempts
    )


def _timed_out(trace: Trace) -> Refusal:
    if trace.run_count:
        return Refusal(ResultCode.BACKEND_TIMEOUT)
    return Refusal(ResultCode.TIMEOUT_QUEUED)


def _none_left(trace: Trace, *, has_tried: bool) -> Refusal:
    if trace.run_count:
        return Refusal(ResultCode.BACKEND_FAILED)
    if has_tried:
        return Refusal(ResultCode.QUEUE_FULL, FULL_RETRY_AFTER_S)
    return Refusal(ResultCode.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_S)
