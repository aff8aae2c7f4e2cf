"""Sends a request to endpoints and retries until one of them responds."""

import math
import time
from collections.abc import Callable

from rattanvalve.counters import Counter
from rattanvalve.gateway.attempt_errors import (
    AttemptFailedError,
    GrantExpiredError,
)
from rattanvalve.gateway.attempts import Attempts
from rattanvalve.gateway.balancing.admission import Admission
from rattanvalve.gateway.balancing.bought_priority import has_bought_priority
from rattanvalve.gateway.caller_memory import CallerMemoryError
from rattanvalve.gateway.calls import Call, Refusal
from rattanvalve.gateway.costs import CostTable
from rattanvalve.gateway.current_rules import CurrentRules
from rattanvalve.gateway.endpoint_choice import (
    ChosenEndpoint,
    EndpointChooser,
)
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.loads import PromptPart
from rattanvalve.gateway.placement import Demand
from rattanvalve.gateway.service_choice import choose_service
from rattanvalve.gateway.sinks import Sink
from rattanvalve.gateway.trace import Trace
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.shared_state import SharedState

__all__ = ('Forwarder',)

#: A request whose deadline is closer than this is refused instead of sent.
REMAINING_TIME_MIN_S = 0.02
#: Number of failed endpoints after which a request is refused.
ENDPOINTS_TRIED_MAX = 4
#: Retry delays that refusals announce to callers.
QUEUE_FULL_RETRY_AFTER_S = 0.25
#: Shorter, because a retry only needs a new rate grant.
GRANT_EXPIRED_RETRY_AFTER_S = 0.1
NO_ENDPOINT_RETRY_AFTER_S = 0.5

_GRANT_EXPIRED = Refusal(ResultCode.RATE_EXCEEDED, GRANT_EXPIRED_RETRY_AFTER_S)


class Forwarder:
    """Chooses an endpoint for each attempt and retries where it is safe.

    :param state: rules and identity of this process.
    :param tables: entries, loads and limits of the endpoints.
    :param chooser: chooses the endpoint of each attempt.
    :param attempts: performs an attempt at one endpoint.
    :param gateway_count: returns the number of gateways that share the
        endpoints, this one included.
    """

    def __init__(
        self,
        state: SharedState,
        tables: EndpointTables,
        chooser: EndpointChooser,
        attempts: Attempts,
        gateway_count: Callable[[], int],
    ) -> None:
        #: Decides on starts of programs while callers compete for endpoints.
        self.admission = Admission(tables.loads, gateway_count)
        self._state = state
        self._tables = tables
        self._chooser = chooser
        self._attempts = attempts
        self._costs = CostTable()
        self._current_rules = CurrentRules(state)

    def admit_start(self, call: Call, trace: Trace) -> Refusal | None:
        """Decide whether a program may start, if callers compete.

        :param call: a request; only one that starts a program may be refused.
        :param trace: gets the decision.
        :returns: the refusal; ``None`` if the request may go on.
        """
        if not (self._state.node.has_contention and call.is_program_start):
            return None
        now_s = time.monotonic()
        demand = self._demand_of(call)
        rules = self._state.rules
        trace.is_start = True
        trace.admission = self.admission.decide(
            call,
            demand,
            self._tables.directory.usable(demand.service, now_s),
            now_s,
            is_first=has_bought_priority(call.workspace, rules),
        )
        return trace.admission.refusal

    async def forward(
        self,
        call: Call,
        sink: Sink,
        trace: Trace,
    ) -> Refusal | None:
        """Forward a request and its response, with retries.

        :param call: the request.
        :param sink: receives the response.
        :param trace: collects fields for the log line of the request.
        :returns: ``None`` after a response was forwarded, else the refusal; a
            stream that has begun is aborted first.
        """
        demand = self._demand_of(call)
        tried: set[str] = set()
        while True:
            chosen = await self._choose(call, demand, tried, trace)
            if isinstance(chosen, Refusal):
                return _end_unanswered(call, sink, trace, chosen)
            try:
                await self._attempts.make(call, demand, chosen, sink, trace)
            except (GrantExpiredError, CallerMemoryError) as error:
                return _end_unanswered(
                    call, sink, trace, _error_refusal(error, trace)
                )
            except TimeoutError:
                trace.run_count += 1
                return _end_unanswered(
                    call, sink, trace, self._timeout_refusal(call, trace)
                )
            except AttemptFailedError as error:
                tried.add(chosen.endpoint.name)
                if not _may_retry(call, error, trace):
                    refusal = Refusal(ResultCode.OUTCOME_UNKNOWN)
                    return _end_unanswered(call, sink, trace, refusal)
                self._count_retry(call, error)
                _prepare_resume(call, trace)
            else:
                return None

    def build_demand(
        self, service: str, parts: tuple[PromptPart, ...], payload_bytes: int
    ) -> Demand:
        """Build what a request needs at an endpoint.

        :param service: service of the request.
        :param parts: parts of its prompt.
        :param payload_bytes: content length of the forwarded request.
        :returns: the demand, with the cost estimates of the service.
        """
        rule = self._state.rules.services.get(service)
        engine = rule.engine if rule else None
        is_generation = engine is not None
        return Demand(
            service=service,
            is_generation=is_generation,
            parts=parts,
            cache_tokens=engine.cache_tokens if engine else 0,
            payload_bytes=payload_bytes,
            costs=self._costs.get(service, is_generation=is_generation),
        )

    def _demand_of(self, call: Call) -> Demand:
        service = choose_service(call.route, call.request_id)
        return self.build_demand(service, call.turn.parts, call.payload_bytes)

    async def _choose(
        self,
        call: Call,
        demand: Demand,
        tried: set[str],
        trace: Trace,
    ) -> ChosenEndpoint | Refusal:
        refusal = self._check(call, trace)
        refusal = refusal or await self._decide_crashes(call, trace)
        if refusal is not None:
            return refusal
        chosen = None
        if len(tried) < ENDPOINTS_TRIED_MAX:
            chosen = await self._chooser.choose(call, demand, tried, trace)
            # The request may have waited for a token.
            refusal = self._check(call, trace)
        if refusal is not None:
            return refusal
        if chosen is None:
            chosen = _no_endpoint_refusal(has_tried=bool(tried))
        if isinstance(chosen, Refusal):
            return _unless_run(trace, chosen)
        trace.endpoints.append(chosen.endpoint.name)
        load = self._tables.loads.get(chosen.endpoint)
        now_s = time.monotonic()
        trace.expected_count = load.expected_count(now_s)
        age_s = load.report_age_s(now_s)
        if math.isfinite(age_s):
            trace.load_age_ms = round(age_s * 1000)
        return chosen

    async def _decide_crashes(self, call: Call, trace: Trace) -> Refusal | None:
        """Return a refusal if the request crashes endpoints."""
        refusal = await self._tables.crashes.decide(call)
        return refusal and _unless_run(trace, refusal)

    def _check(self, call: Call, trace: Trace) -> Refusal | None:
        """Return a refusal if the request must not be sent any more."""
        now_s = time.monotonic()
        if not self._state.rules.allows(call.key, call.workspace):
            refusal = self._current_rules.refuse(
                ResultCode.KEY_WITHDRAWN, now_s
            )
            is_final = refusal.retry_after_s is None
            return refusal if is_final else _unless_run(trace, refusal)
        if call.deadline_s - now_s < REMAINING_TIME_MIN_S:
            return _deadline_refusal(trace)
        refusal = self._tables.crashes.refuse(call)
        return refusal and _unless_run(trace, refusal)

    def _timeout_refusal(self, call: Call, trace: Trace) -> Refusal:
        """Return the refusal for a request whose timeout expired.

        The timeout expires at the deadline, or earlier if the API key of a
        stream is withdrawn.
        """
        if self._state.rules.allows(call.key, call.workspace):
            return _deadline_refusal(trace)
        self._state.metrics.count(Counter.STREAM_CUT_KEY)
        return Refusal(ResultCode.KEY_WITHDRAWN)

    def _count_retry(self, call: Call, error: AttemptFailedError) -> None:
        counter = Counter.RETRY_NOT_RUN
        if call.has_stream_started:
            counter = Counter.RETRY_STREAM_RESUMED
        elif error.may_have_run:
            counter = Counter.RETRY_REPEATABLE
        self._state.metrics.count(counter)


def _end_unanswered(
    call: Call,
    sink: Sink,
    trace: Trace,
    refusal: Refusal,
) -> Refusal:
    """Return the refusal after aborting a stream that has begun.

    The abort shows the caller that the stream is incomplete.
    """
    if call.has_stream_started:
        trace.is_cut = True
        sink.abort()
    return refusal


def _error_refusal(error: Exception, trace: Trace) -> Refusal:
    if isinstance(error, GrantExpiredError):
        return _unless_run(trace, _GRANT_EXPIRED)
    # There is no room for the response of a request that has run.
    return Refusal(ResultCode.BACKEND_FAILED)


def _prepare_resume(call: Call, trace: Trace) -> None:
    """Let the next endpoint resume a stream after its last complete event."""
    if call.event_parser is not None:
        call.event_parser.discard_incomplete()
        call.resume_after = call.event_parser.last_id
        trace.resumed_after.append(call.resume_after)


def _may_retry(
    call: Call,
    error: AttemptFailedError,
    trace: Trace,
) -> bool:
    """Record a failed attempt and check whether the request may be retried."""
    trace.reasons.append(str(error))
    if not error.may_have_run:
        return True
    trace.run_count += 1
    trace.endpoint_down_count += error.is_endpoint_down
    run_count = trace.run_count - trace.endpoint_down_count
    has_attempts = run_count < call.route.max_attempts
    return call.route.is_repeatable and has_attempts


def _deadline_refusal(trace: Trace) -> Refusal:
    if trace.run_count:
        return Refusal(ResultCode.BACKEND_TIMEOUT)
    return Refusal(ResultCode.TIMEOUT_QUEUED)


def _unless_run(trace: Trace, refusal: Refusal) -> Refusal:
    """Return a refusal, or another one if the request may have run before."""
    if trace.run_count:
        return Refusal(ResultCode.BACKEND_FAILED)
    return refusal


def _no_endpoint_refusal(*, has_tried: bool) -> Refusal:
    if has_tried:
        return Refusal(ResultCode.QUEUE_FULL, QUEUE_FULL_RETRY_AFTER_S)
    return Refusal(ResultCode.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_S)
