"""Reads requests of callers and checks them against the rules."""

import asyncio
import time
from collections.abc import Mapping

from aiohttp import web

from rattanvalve.errors import BodyError
from rattanvalve.gateway.caller_connection import connection_of
from rattanvalve.gateway.caller_memory import (
    LIMITED_RETRY_AFTER_S,
    CallerMemoryError,
    Holding,
)
from rattanvalve.gateway.calls import (
    Call,
    Refusal,
    parse_header_number,
    parse_turn_headers,
)
from rattanvalve.gateway.current_rules import CurrentRules
from rattanvalve.platform import names
from rattanvalve.platform.requests import forwarded_headers
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.rules import Route, TrafficRules, Workspace
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('RequestReader', 'time_limit_ms')

STARTING_RETRY_AFTER_S = 0.5
#: Copies of a body: received and joined, later kept and forwarded.
BODY_COPIES = 2
PRIORITY_MAX = 9


class RequestReader:
    """Admits requests by the current rules, then reads their bodies.

    :param state: shared state that holds the rules.
    """

    def __init__(self, state: SharedState) -> None:
        self._state = state
        self._current_rules = CurrentRules(state)

    async def read(
        self,
        request: web.BaseRequest,
        received_s: float,
    ) -> Call | Refusal:
        """Check a request and read its body.

        :param request: request of a caller.
        :param received_s: monotonic time of its arrival in seconds.
        :returns: the parsed request, or a refusal. The body of a refused
            request may be unread, so the connection must not be reused.
        """
        await self._current_rules.wait(received_s)
        admitted = self._admit(request)
        if isinstance(admitted, ResultCode):
            return self._refuse(admitted, received_s)
        route, workspace = admitted
        try:
            body = await self._read_body(request)
        except BodyError:
            return self._refuse(ResultCode.BODY_TOO_LARGE, received_s)
        except TimeoutError:
            return Refusal(ResultCode.REQUEST_TIMEOUT)
        except CallerMemoryError:
            return Refusal(ResultCode.CALLERS_LIMITED, LIMITED_RETRY_AFTER_S)
        call = _build_call(request, body, route, workspace, received_s)
        return call or Refusal(ResultCode.BAD_FIELD)

    def _admit(
        self,
        request: web.BaseRequest,
    ) -> tuple[Route, Workspace | None] | ResultCode:
        """Find the route and the workspace, or the reason for a refusal."""
        rules = self._state.rules
        if not rules.version:
            return ResultCode.STARTING
        header_bytes = sum(
            len(name) + len(content) for name, content in request.raw_headers
        )
        if header_bytes > rules.limits.header_bytes:
            return ResultCode.HEADER_TOO_LONG
        host = request.headers.get('Host', '').partition(':')[0]
        path = request.raw_path.partition('?')[0]
        route = rules.find_route(host, path)
        if route is None:
            return ResultCode.UNKNOWN_PATH
        if not rules.needs_keys or route.is_open:
            return route, None
        workspace = _authenticate(request, rules)
        if isinstance(workspace, ResultCode):
            return workspace
        return route, workspace

    def _refuse(self, code: ResultCode, received_s: float) -> Refusal:
        if code == ResultCode.STARTING:
            return Refusal(code, STARTING_RETRY_AFTER_S)
        return self._current_rules.refuse(code, received_s)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        limits = self._state.rules.limits
        if (request.content_length or 0) > limits.body_bytes:
            raise BodyError('the body is too large')
        holding = connection_of(request).holding
        async with asyncio.timeout(limits.header_timeout_ms / 1000) as timeout:
            with holding.waiting(lambda: _expire(timeout)):
                body = await _collect(request, holding, limits.body_bytes)
        return bytes(body)


def _expire(timeout: asyncio.Timeout) -> None:
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


async def _collect(
    request: web.BaseRequest, holding: Holding, bytes_max: int
) -> bytearray:
    """Read a body; one buffer, as small pieces would be objects each."""
    body = bytearray()
    try:
        async for part in request.content.iter_any():
            if len(body) + len(part) > bytes_max:
                raise BodyError('the body is too large')
            holding.take(len(part) * BODY_COPIES)
            holding.record_progress(len(part), time.monotonic())
            body += part
    except BaseException:
        # The traceback would keep it until the error is handled.
        body.clear()
        raise
    return body


def _authenticate(
    request: web.BaseRequest,
    rules: TrafficRules,
) -> Workspace | ResultCode:
    key = request.headers.get(names.CALLER_KEY)
    if key is None:
        return ResultCode.KEY_MISSING
    return rules.workspace_of_key(key) or ResultCode.KEY_UNKNOWN


def _build_call(
    request: web.BaseRequest,
    body: bytes,
    route: Route,
    workspace: Workspace | None,
    received_s: float,
) -> Call | None:
    """Build the parsed request; return ``None`` if a header is malformed."""
    headers = request.headers
    turn = parse_turn_headers(headers)
    resume_after = None
    resume_text = headers.get(names.LAST_EVENT_ID)
    if route.is_resumable and resume_text is not None:
        resume_after = parse_whole_number(resume_text)
        if resume_after is None:
            return None
    if turn.is_malformed:
        return None
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
        deadline_s=received_s + time_limit_ms(route, headers) / 1000,
        turn=turn,
        key=headers.get(names.CALLER_KEY, ''),
        priority=min(max(priority, 0), PRIORITY_MAX),
        resume_after=resume_after,
    )


def time_limit_ms(route: Route, headers: Mapping[str, str]) -> float:
    """Return how long a request may take.

    :param route: route of the request.
    :param headers: headers of the caller, who may have less time left.
    :returns: time in milliseconds; 0 if the caller has none left.
    """
    remaining_ms = parse_header_number(headers.get(names.DEADLINE_MS))
    if remaining_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, remaining_ms)
