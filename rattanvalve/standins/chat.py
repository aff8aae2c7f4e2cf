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
    """Fields of a chat request that the engine reads."""

    model: str
    messages: Annotated[list[dict], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = _DEFAULT_MAX_TOKENS
    stream: bool = False
    stream_options: _StreamOptions | None = None
    resume_text: str = ''


def parse_chat(body: bytes) -> ChatRequest:
    """Read a chat request.

    :param body: JSON text.
    :returns: the request.
    :raises web.HTTPBadRequest: if a field is missing or has a wrong type.
    """
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except msgspec.DecodeError as error:
        raise _bad_request(str(error)) from error


def remaining_tokens(wanted: ChatRequest) -> list[str]:
    """Give the tokens that are still to be generated.

    :param wanted: request, possibly with the text generated so far.
    :returns: tokens after ``resume_text``.
    :raises web.HTTPBadRequest: if this engine would not have generated it.
    """
    tokens = expected_tokens(wanted.messages, wanted.max_tokens)
    text = ''.join(tokens)
    if not text.startswith(wanted.resume_text):
        raise _bad_request('resume_text is no beginning of the response')
    rest = text[len(wanted.resume_text) :]
    return [f'{word} ' for word in rest.split(' ') if word]


async def respond(
    request: web.Request,
    wanted: ChatRequest,
    job: Job,
    tokens: asyncio.Queue[str | None],
) -> web.StreamResponse:
    """Send the response while the batch generates it.

    :param request: HTTP request.
    :param wanted: its parsed body.
    :param job: the request in the batch.
    :param tokens: tokens from the batch, ended by ``None``.
    :returns: the finished response.
    """
    if wanted.stream:
        return await _respond_stream(request, wanted, job, tokens)
    words = []
    while (token := await tokens.get()) is not None:
        words.append(token)
    message = {'role': 'assistant', 'content': ''.join(words)}
    choice = {
        'index': 0,
        'message': message,
        'finish_reason': _finish_reason(wanted),
    }
    return web.json_response(
        {
            **_envelope(wanted, job, 'chat.completion'),
            'choices': [choice],
            'usage': _usage(job),
        },
    )


async def _respond_stream(
    request: web.Request,
    wanted: ChatRequest,
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
    envelope = _envelope(wanted, job, 'chat.completion.chunk')
    delta = {'role': 'assistant', 'content': ''}
    await response.write(_event(envelope, delta, None))
    while (token := await tokens.get()) is not None:
        await response.write(_event(envelope, {'content': token}, None))
    await response.write(_event(envelope, {}, _finish_reason(wanted)))
    if wanted.stream_options and wanted.stream_options.include_usage:
        usage = {**envelope, 'choices': [], 'usage': _usage(job)}
        await response.write(_frame(usage))
    await response.write(b'data: [DONE]\n\n')
    await response.write_eof()
    return response


def _envelope(wanted: ChatRequest, job: Job, kind: str) -> dict:
    return {
        'id': f'chatcmpl-{job.request_id}',
        'object': kind,
        'created': int(time.time()),
        'model': wanted.model,
    }


def _event(envelope: dict, delta: dict, reason: str | None) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
    return _frame({**envelope, 'choices': [choice]})


def _frame(content: dict) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(content)


def _finish_reason(wanted: ChatRequest) -> str:
    is_complete = is_text_complete(wanted.messages, wanted.max_tokens)
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
