"""Sends a request to one endpoint and forwards its response."""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus

from rattanvalve.counters import Counter
from rattanvalve.errors import (
    QuorumError,
    ResponseStatusError,
    ServerExchangeError,
)
from rattanvalve.gateway.attempt_errors import AttemptFailedError
from rattanvalve.gateway.attempt_health import (
    HealthRecorder,
    SentRequest,
    avoid,
)
from rattanvalve.gateway.calls import Call
from rattanvalve.gateway.connecting import Connector
from rattanvalve.gateway.endpoint_choice import ChosenEndpoint
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.events import EventParser
from rattanvalve.gateway.placement import Demand
from rattanvalve.gateway.response_parser import ResponseHead
from rattanvalve.gateway.revocable_streams import RevocableStreams
from rattanvalve.gateway.server_connection import ServerConnection
from rattanvalve.gateway.sinks import Sink
from rattanvalve.gateway.trace import Trace
from rattanvalve.gateway.turns import TurnManager
from rattanvalve.platform import names
from rattanvalve.platform.requests import encode_request
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.sharedstate.shared_state import SharedState

__all__ = ('Attempts',)

#: Seconds for which placement avoids an endpoint after a connection that broke
#: during a request.
BROKEN_AVOID_S = 0.3
#: Longest wait for the check of an endpoint before a request goes to the next.
CRASH_CHECK_WAIT_S = 0.1
#: Largest response body that is buffered until it is complete.
BODY_BYTES_MAX = 8 * 1024 * 1024
#: A growing buffer has up to an eighth of its bytes in reserve.
BUFFER_SPARE = 8
SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR


class Attempts:
    """Sends requests to endpoints and records their load and health.

    :param state: rules and identity of this process.
    :param tables: entries, loads, limits and connections of the endpoints;
        endpoints that announce their shutdown are marked in them.
    :param turns: commits finished turns to the turn stores.
    """

    def __init__(
        self,
        state: SharedState,
        tables: EndpointTables,
        turns: TurnManager,
    ) -> None:
        #: Open streams, which end early if their API key is withdrawn.
        self.streams = RevocableStreams(
            state.node.key_revocation_s, state.node.staleness.rules_s
        )
        self._state = state
        self._tables = tables
        self._loads = tables.loads
        self._pool = tables.pool
        self._connector = Connector(tables)
        self._turns = turns
        self._health = HealthRecorder()
        self._crash_watch = tables.crash_watch

    async def make(
        self,
        call: Call,
        demand: Demand,
        chosen: ChosenEndpoint,
        sink: Sink,
        trace: Trace,
    ) -> None:
        """Send a request to one endpoint and forward its response.

        :param call: the request.
        :param demand: resources that the request needs at the endpoint.
        :param chosen: endpoint that receives the request.
        :param sink: receives the response.
        :param trace: collects fields for the log line of the request.
        :raises AttemptFailedError: if no complete response was forwarded.
        :raises GrantExpiredError: if the rate grant expired before sending.
        :raises CallerMemoryError: if callers hold too many bytes for the
            response.
        :raises TimeoutError: if the deadline passes, or if the API key of a
            stream is withdrawn.
        """
        endpoint = chosen.endpoint
        connection = await self._connector.connect(call, chosen)
        trace.connections.append(connection.origin)
        load = self._loads.get(endpoint)
        sent = SentRequest.now(demand, endpoint, load, time.monotonic())
        self._record_start(endpoint, demand, trace)
        try:
            with self._health.track(call, sent, load.health, trace):
                async with asyncio.timeout_at(
                    _loop_time(call.deadline_s),
                ) as timeout:
                    with self.streams.track(call, timeout):
                        await self._exchange(
                            call,
                            sent,
                            endpoint,
                            connection,
                            sink,
                            trace,
                        )
                self._tables.crashes.record_served(call)
        except ServerExchangeError as error:
            connection.close()
            avoid(endpoint, load, BROKEN_AVOID_S)
            raise AttemptFailedError(
                self._broken_reason(error),
                may_have_run=True,
                is_endpoint_down=await self._is_down(call, sent, endpoint),
            ) from error
        except AttemptFailedError:
            raise
        except BaseException:
            # The caller disconnected, the deadline passed, or there is no room
            # for the response. Closing the connection cancels the request at
            # the endpoint.
            connection.close()
            self._abandon(call, sent, endpoint, sink)
            raise
        finally:
            self._loads.record_end(endpoint, time.monotonic())
            self._pool.release(endpoint, connection)

    def _broken_reason(self, error: ServerExchangeError) -> str:
        """Return the reason for the log line, and count invalid statuses."""
        if not isinstance(error, ResponseStatusError):
            return 'broken'
        self._state.metrics.count(Counter.ENDPOINT_STATUS_INVALID)
        return f'broken: {error}'

    def _abandon(
        self,
        call: Call,
        sent: SentRequest,
        endpoint: EndpointEntry,
        sink: Sink,
    ) -> None:
        """End a request whose caller left or whose deadline passed."""
        self._crash_watch.abandon(call, endpoint, sent.sent_s, time.monotonic())
        if call.has_stream_started:
            sink.abort()

    def _record_start(
        self, endpoint: EndpointEntry, demand: Demand, trace: Trace
    ) -> None:
        self._loads.record_start(endpoint, time.monotonic())
        if demand.is_generation:
            load = self._loads.get(endpoint)
            load.record_prompt(demand.parts, demand.cache_tokens)
        limit_per_s = self._tables.limits.rate_per_s(endpoint)
        trace.limits_per_s.append(limit_per_s)
        if limit_per_s is not None:
            self._state.metrics.count(Counter.ENDPOINT_LIMITED_REQUESTS)

    async def _is_down(
        self, call: Call, sent: SentRequest, endpoint: EndpointEntry
    ) -> bool:
        """Check an endpoint after a broken connection.

        Only requests that may be sent again wait for the result.

        :returns: whether it is down; false if the request does not wait.
        """
        check = self._crash_watch.check(
            call, endpoint, sent.sent_s, time.monotonic()
        )
        if not call.route.is_repeatable:
            return False
        if call.route.is_resumable:
            return await asyncio.shield(check)
        await asyncio.wait((check,), timeout=CRASH_CHECK_WAIT_S)
        return False

    async def _exchange(
        self,
        call: Call,
        sent: SentRequest,
        endpoint: EndpointEntry,
        connection: ServerConnection,
        sink: Sink,
        trace: Trace,
    ) -> None:
        _send(call, endpoint, connection)
        head = await connection.read_head(sink.hold)
        health = self._loads.get(endpoint).health
        health.record_head(call.request_id, time.monotonic())
        if names.SERVER_LEAVING in head.headers:
            self._tables.directory.mark_leaving(endpoint)
        load_text = head.headers.get(names.SERVER_LOAD, '')
        self._loads.apply_report(endpoint, load_text, time.monotonic())
        self._tables.limits.apply_response(
            endpoint,
            head.headers.getall(names.SERVER_LIMIT, ()),
            sent.sent_s,
            time.monotonic(),
        )
        trace.status = head.status
        if _is_refusal(head):
            await _read_body(connection, sink.hold)
            connection.refused_ids.add(call.request_id)
            raise AttemptFailedError(
                f'refused {head.status}', may_have_run=False
            )
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success and names.SEAL not in head.headers:
            connection.close()
            raise ServerExchangeError('successful response without a seal')
        if is_success and call.route.is_stream:
            sent.record_head_latency(time.monotonic())
            await self._forward_stream(call, connection, head, sink)
            return
        if call.has_stream_started:
            # The caller already has a part of the stream, so only the
            # remaining events of that stream may follow.
            raise AttemptFailedError(f'failed {head.status}', may_have_run=True)
        body = await _read_body(connection, sink.hold)
        if not is_success and _may_retry_failure(call, head, trace):
            raise AttemptFailedError(f'failed {head.status}', may_have_run=True)
        try:
            await sink.send_response(head, body)
        finally:
            # If the caller has left, the error and its frames refer to each
            # other and would keep the body until the next collection.
            body.clear()

    async def _forward_stream(
        self,
        call: Call,
        connection: ServerConnection,
        head: ResponseHead,
        sink: Sink,
    ) -> None:
        """Forward complete events; a resumed stream sends no second head."""
        event_parser = call.event_parser
        if event_parser is None:
            event_parser = EventParser(
                call.resume_after,
                keeps_output=call.route.keeps_turns,
            )
            call.event_parser = event_parser
            await sink.begin(head)
        held_bytes = 0
        while chunk := await connection.read_chunk():
            events = event_parser.feed(chunk)
            pending_bytes = event_parser.pending_bytes
            if pending_bytes > held_bytes:
                sink.hold(pending_bytes - held_bytes)
                held_bytes = pending_bytes
            if events:
                if call.route.keeps_turns:
                    sink.hold(len(events))
                await sink.write(events)
        if not event_parser.is_between_events():
            raise ServerExchangeError('stream ended inside an event')
        try:
            await self._commit(call, event_parser)
        except QuorumError:
            # The turn was not committed. An aborted stream keeps the caller
            # from treating the turn as complete.
            sink.abort()
            return
        await sink.finish()

    async def _commit(self, call: Call, event_parser: EventParser) -> None:
        if not (call.turn.program_id and call.route.keeps_turns):
            return
        tokens = event_parser.event_count * self._state.rules.event_tokens(
            call.route
        )
        await self._turns.commit(call, event_parser.output(), tokens)


def _loop_time(monotonic_s: float) -> float:
    now_s = asyncio.get_running_loop().time()
    return now_s + monotonic_s - time.monotonic()


def _send(
    call: Call, endpoint: EndpointEntry, connection: ServerConnection
) -> None:
    """Send a request; its payload is freed once the transport has sent it."""
    remaining_ms = int((call.deadline_s - time.monotonic()) * 1000)
    payload = encode_request(call, endpoint.name, remaining_ms)
    connection.send(call.request_id, payload)


def _is_refusal(head: ResponseHead) -> bool:
    return (
        names.NOT_RUN in head.headers
        or head.status == HTTPStatus.MISDIRECTED_REQUEST
    )


async def _read_body(
    connection: ServerConnection, hold: Callable[[int], None]
) -> bytearray:
    body = bytearray()
    try:
        while chunk := await connection.read_chunk():
            if len(body) + len(chunk) > BODY_BYTES_MAX:
                raise ServerExchangeError('response body is too large')
            hold(len(chunk) + len(chunk) // BUFFER_SPARE)
            body += chunk
    except BaseException:
        # The traceback would keep it until the error is handled.
        body.clear()
        raise
    return body


def _may_retry_failure(call: Call, head: ResponseHead, trace: Trace) -> bool:
    """Check whether a request may be retried after an error response."""
    return (
        head.status >= SERVER_ERROR
        and call.route.is_repeatable
        and trace.run_count + 1 < call.route.max_attempts
    )
