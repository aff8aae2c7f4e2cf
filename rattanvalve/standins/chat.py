"""Chat-completions protocol of the stand-in engine."""

import asyncio
import time
from typing import Annotated

import msgspec
from aiohttp import web

from rattanvalve.standins.batch import Job
from rattanvalve.standins.text import expected_tokens, is_text_complete

__all__ = ('ChatRequest', 'parse_chat', 'remaining_tokens', 'respond')

_DEFAULT_MAX_TOKENS = 4096


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class ChatRequest(msgspec.Struct):
    """Fields of a chat request that the engine reads; others are ignored.

    ``resume_text`` is the part of the response that was generated before.
    """

    model: str
    messages: Annotated[list[dict], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = _DEFAULT_MAX_TOKENS
    stream: bool = False
    stream_options: _StreamOptions | None = None
    resume_text: str = ''


def parse_chat(body: bytes) -> ChatRequest:
    """Decode a chat request.

    :param body: JSON text.
    :returns: decoded request.
    :raises web.HTTPBadRequest: if a field is missing or has a wrong type.
    """
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except msgspec.DecodeError as error:
        raise _bad_request(str(error)) from error


def remaining_tokens(chat_request: ChatRequest) -> list[str]:
    """Compute the tokens that remain to be generated.

    :param chat_request: request, possibly with the text generated before.
    :returns: tokens after ``resume_text``.
    :raises web.HTTPBadRequest: if ``resume_text`` is not a prefix of the
        response.
    """
    tokens = expected_tokens(chat_request.messages, chat_request.max_tokens)
    text = ''.join(tokens)
    if not text.startswith(chat_request.resume_text):
        raise _bad_request('resume_text is no beginning of the response')
    remainder = text[len(chat_request.resume_text) :]
    return [f'{word} ' for word in remainder.split(' ') if word]


async def respond(
    request: web.Request,
    chat_request: ChatRequest,
    job: Job,
    tokens: asyncio.Queue[str | None],
) -> web.StreamResponse:
    """Send the response as the batch generates it.

    A stream sends each token at once, a plain response waits for all.

    :param request: HTTP request.
    :param chat_request: its decoded body.
    :param job: the request in the batch.
    :param tokens: tokens from the batch, terminated by ``None``.
    :returns: the completed response.
    """
    if chat_request.stream:
        return await _respond_stream(request, chat_request, job, tokens)
    received = []
    while (token := await tokens.get()) is not None:
        received.append(token)
    message = {'role': 'assistant', 'content': ''.join(received)}
    choice = {
        'index': 0,
        'message': message,
        'finish_reason': _finish_reason(chat_request),
    }
    return web.json_response(
        {
            **_common_fields(chat_request, job, 'chat.completion'),
            'choices': [choice],
            'usage': _usage(job),
        },
    )


async def _respond_stream(
    request: web.Request,
    chat_request: ChatRequest,
    job: Job,
    tokens: asyncio.Queue[str | None],
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={
            'Content-Type': 'text/event-stream',
            'Cache-Control': 'no-cache',
        },
    )
    await response.prepare(request)
    common_fields = _common_fields(chat_request, job, 'chat.completion.chunk')
    delta = {'role': 'assistant', 'content': ''}
    await response.write(_chunk_event(common_fields, delta, None))
    while (token := await tokens.get()) is not None:
        await response.write(
            _chunk_event(common_fields, {'content': token}, None)
        )
    await response.write(
        _chunk_event(common_fields, {}, _finish_reason(chat_request))
    )
    if (
        chat_request.stream_options
        and chat_request.stream_options.include_usage
    ):
        usage = {**common_fields, 'choices': [], 'usage': _usage(job)}
        await response.write(_sse_frame(usage))
    await response.write(b'data: [DONE]\n\n')
    await response.write_eof()
    return response


def _common_fields(chat_request: ChatRequest, job: Job, kind: str) -> dict:
    return {
        'id': f'chatcmpl-{job.request_id}',
        'object': kind,
        'created': int(time.time()),
        'model': chat_request.model,
    }


def _chunk_event(common_fields: dict, delta: dict, reason: str | None) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
    return _sse_frame({**common_fields, 'choices': [choice]})


def _sse_frame(content: dict) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(content)


def _finish_reason(chat_request: ChatRequest) -> str:
    is_complete = is_text_complete(
        chat_request.messages, chat_request.max_tokens
    )
    return 'stop' if is_complete else 'length'


def _usage(job: Job) -> dict:
    return {
        'prompt_tokens': job.prompt_tokens,
        'completion_tokens': job.emitted_count,
        'total_tokens': job.prompt_tokens + job.emitted_count,
        'prompt_tokens_details': {'cached_tokens': job.cached_tokens},
    }


def _bad_request(text: str) -> web.HTTPBadRequest:
    detail = {
        'message': text,
        'type': 'invalid_request_error',
        'code': None,
        'param': None,
    }
    return web.HTTPBadRequest(
        body=msgspec.json.encode({'error': detail}),
        content_type='application/json',
    )
