"""Steps of client_library.feature; the library is a development dependency."""

import asyncio
import tempfile
from pathlib import Path

import msgspec
import openai
from behave import given, then

from rattanvalve.fleet import running_fleet
from rattanvalve.standins.text import expected_text
from tests.steps.fleet_steps import tiny_scenario

MAX_TOKENS = 24
MESSAGES = [{'role': 'user', 'content': 'Where is pole 17?'}]
#: Exceeds the burst plus the requests that the rate allows in one second.
FLOOD_COUNT = 40


def slow_rate_scenario():
    """Return a scenario whose first workspace has a rate of 2 per second."""
    scenario = tiny_scenario(step_base_s=0.001)
    first, *others = scenario.workspaces
    first = msgspec.structs.replace(first, rate_per_s=2.0, burst=10)
    return msgspec.structs.replace(scenario, workspaces=(first, *others))


@given('a small deployment of real processes and a client library')
def step_deployment(context):
    scenario = slow_rate_scenario()
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    fleet_context = running_fleet(scenario, Path(folder.name))
    fleet = context.run(fleet_context.__aenter__())
    context.closers.append(lambda: fleet_context.__aexit__(None, None, None))
    context.model = scenario.engine_service().model
    context.url = fleet.plan.entries[0].caller.url
    key_name = scenario.workspaces[0].groups[0].key
    context.client = new_client(context, fleet.keys[key_name])


def new_client(context, key):
    """Create a client without retries, so that errors reach the test."""
    client = openai.AsyncOpenAI(
        api_key=key,
        base_url=f'{context.url}/v1',
        max_retries=0,
    )
    context.closers.append(client.close)
    return client


async def request_chat(context, client=None, **fields):
    """Send one chat request through the library."""
    return await (client or context.client).chat.completions.create(
        **{
            'model': context.model,
            'messages': MESSAGES,
            'max_tokens': MAX_TOKENS,
            **fields,
        },
    )


async def error_of(request):
    """Return the error that a request raises; fail if there is none."""
    try:
        await request
    except openai.APIStatusError as error:
        return error
    raise AssertionError('no error')


@then('a request gets the text that belongs to its messages')
def step_request(context):
    answer = context.run(request_chat(context))
    text = answer.choices[0].message.content
    assert text == expected_text(MESSAGES, MAX_TOKENS)
    assert answer.usage.completion_tokens > 0


@then('a stream delivers the same text and its usage')
def step_stream(context):
    async def read():
        stream = await request_chat(
            context,
            stream=True,
            stream_options={'include_usage': True},
        )
        return [chunk async for chunk in stream]

    chunks = context.run(read())
    texts = [
        choice.delta.content or ''
        for chunk in chunks
        for choice in chunk.choices
    ]
    assert ''.join(texts) == expected_text(MESSAGES, MAX_TOKENS)
    assert chunks[-1].usage.completion_tokens > 0


@then('the models are listed')
def step_models(context):
    models = context.run(context.client.models.list())
    assert context.model in [model.id for model in models.data]


@then('an unknown key, an unknown model and a bad body raise its own errors')
def step_errors(context):
    unknown_client = new_client(context, 'rv-unknown')
    for fields, kind, code in (
        ({'client': unknown_client}, openai.AuthenticationError, 1102),
        ({'model': 'other'}, openai.NotFoundError, 1005),
        ({'messages': 'text'}, openai.BadRequestError, 1004),
    ):
        error = context.run(error_of(request_chat(context, **fields)))
        assert isinstance(error, kind), error
        assert error.code == str(code), error.code


@then('a request above the rate raises its rate limit error with a delay')
def step_rate(context):
    async def flood():
        return await asyncio.gather(
            *(request_chat(context) for _ in range(FLOOD_COUNT)),
            return_exceptions=True,
        )

    failures = [
        answer
        for answer in context.run(flood())
        if isinstance(answer, Exception)
    ]
    assert failures
    for error in failures:
        assert isinstance(error, openai.RateLimitError), error
        assert error.code == '1201'
        assert int(error.response.headers['Retry-After']) >= 1
