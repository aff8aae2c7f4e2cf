"""Reads and validates a request of a caller for the relay."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from aiohttp import web

from rattanvalve.blackboard import Blackboard
from rattanvalve.call_headers import Caller, build_begin, forwarded_headers
from rattanvalve.caller_errors import RefusedError, accept
from rattanvalve.messages import Begin, Refusal
from rattanvalve.open_requests import OpenRequest
from rattanvalve.relay_state import RelayRequest
from rattanvalve.request_checks import estimate_tokens, parse_chat_body
from rattanvalve.resultcodes import ResultCode

__all__ = ('CHAT_PATH', 'CallLimits', 'chat_call', 'service_call')

CHAT_PATH = '/v1/chat/completions'
#: Tokens reserved from the budget of a program if the caller sets no limit.
DEFAULT_MAX_TOKENS = 4096

HistoryDigests = Callable[[list[dict[str, Any]]], tuple[int, ...]]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallLimits:
    """Limits of one request, and the function that hashes its history."""

    request_timeout_s: float
    max_body_bytes: int
    max_body_depth: int
    history_digests: HistoryDigests


async def chat_call(
    request: web.Request,
    caller: Caller,
    entry: OpenRequest,
    limits: CallLimits,
    blackboard: Blackboard,
) -> RelayRequest:
    """Read and validate a chat-completions request.

    :param request: HTTP request of the caller.
    :param caller: identity of the caller.
    :param entry: registered open request.
    :param limits: limits of a request.
    :param blackboard: shared state of the process.
    :returns: request for the relay; its deadline starts now.
    :raises RefusedError: if the request is invalid or its model is unknown.
    """
    deadline_s = time.monotonic() + limits.request_timeout_s
    body = await _read_body(request, limits)
    chat = accept(parse_chat_body(body, limits.max_body_depth))
    catalog = blackboard.catalog
    service = catalog.service_of_model(chat.model)
    if service is None:
        raise RefusedError(Refusal(code=ResultCode.UNKNOWN_MODEL))
    begin = accept(build_begin(request.headers, caller, catalog))
    return RelayRequest(
        begin=replace(
            begin,
            service_name=service,
            is_repeatable=catalog.is_repeatable(service, 'POST', CHAT_PATH),
            prompt_tokens=estimate_tokens(body),
            max_tokens=chat.requested_max_tokens() or DEFAULT_MAX_TOKENS,
            history_digests=limits.history_digests(list(chat.messages)),
        ),
        entry=entry,
        method='POST',
        path=CHAT_PATH,
        headers=forwarded_headers(request.headers),
        body=body,
        deadline_s=deadline_s,
        is_stream=bool(chat.stream),
        is_chat=True,
        is_resumable=chat.choice_count in {None, 1},
    )


async def service_call(
    request: web.Request,
    begin: Begin,
    path: str,
    entry: OpenRequest,
    limits: CallLimits,
) -> RelayRequest:
    """Read a request to a plain service.

    :param request: HTTP request of the caller.
    :param begin: request to the owner.
    :param path: path within the service, including the query.
    :param entry: registered open request.
    :param limits: limits of a request.
    :returns: request for the relay; its deadline starts now.
    :raises RefusedError: if the body cannot be read in time.
    """
    deadline_s = time.monotonic() + limits.request_timeout_s
    return RelayRequest(
        begin=begin,
        entry=entry,
        method=request.method,
        path=path,
        headers=forwarded_headers(request.headers),
        body=await _read_body(request, limits),
        deadline_s=deadline_s,
    )


async def _read_body(request: web.Request, limits: CallLimits) -> bytes:
    try:
        async with asyncio.timeout(limits.request_timeout_s):
            return await request.read()
    except (web.RequestPayloadError, TimeoutError) as error:
        refusal = Refusal(code=ResultCode.BAD_FIELD, detail='unreadable body')
        raise RefusedError(refusal) from error
