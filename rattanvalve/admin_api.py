"""Administration HTTP API of an entry process."""

import functools
import json
import uuid
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from rattanvalve.admin_requests import (
    CONTEXT,
    MIDDLEWARES,
    OPERATOR,
    AdminContext,
    AdminError,
    conflict_error,
)
from rattanvalve.configdiff import list_changes
from rattanvalve.configdocs import MAX_CONFIG_BYTES
from rattanvalve.configedit import (
    Edit,
    drain_endpoint,
    grant_key,
    undrain_endpoint,
    withdraw_key,
)
from rattanvalve.errors import (
    StoreConflictError,
    StoreError,
)
from rattanvalve.inventory import Config, parse_config
from rattanvalve.keys import generate_key, key_digest
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.resultcodes import ResultCode
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('build_admin_app',)

#: Attempts of a single edit; a conflict with another operator uses up one.
EDIT_ATTEMPTS = 8
_OPENAPI_PATH = Path(__file__).with_name('openapi.json')

_log = part_logger(LogPart.ADMIN)


def build_admin_app(context: AdminContext) -> web.Application:
    """Build the administration API.

    :param context: state and operations that the request handlers use.
    :returns: aiohttp application; ``openapi.json`` describes its routes.
    """
    app = web.Application(
        middlewares=MIDDLEWARES,
        client_max_size=MAX_CONFIG_BYTES,
    )
    app[CONTEXT] = context
    app.router.add_routes(_ROUTES)
    return app


async def _get_config(request: web.Request) -> web.Response:
    context = request.app[CONTEXT]
    catalog = context.blackboard.catalog
    if not catalog.generation:
        raise AdminError(ResultCode.STARTING, 'try again or elsewhere')
    return web.json_response(
        {
            'generation': catalog.generation,
            'config': msgspec.to_builtins(catalog.config),
        },
        headers={'ETag': f'"{catalog.generation}"'},
    )


async def _put_config(request: web.Request) -> web.Response:
    context = request.app[CONTEXT]
    expected = _expected_generation(request)
    parsed = parse_config(await request.read())
    if parsed.is_err():
        error = parsed.unwrap_err()
        raise AdminError(
            ResultCode.BAD_CONFIGURATION,
            str(error),
            place=error.place,
        )
    config = parsed.unwrap()
    with suppress(StoreError):
        # If the store is unreachable, the write below reports it.
        await context.refresh()
    if context.blackboard.catalog.generation != expected:
        raise conflict_error(context, f'If-Match names generation {expected}')
    changes = _changes_as_dicts(context.blackboard.catalog.config, config)
    is_dry_run = request.query.get('dry_run') == 'true'
    if is_dry_run or not (context.begin_repair() or changes):
        return web.json_response({'generation': expected, 'changes': changes})
    generation = await _write(request, config, expected, changes)
    return web.json_response({'generation': generation, 'changes': changes})


def _expected_generation(request: web.Request) -> int:
    tag = request.headers.get('If-Match', '').strip('"')
    generation = parse_whole_number(tag)
    if generation is None:
        raise AdminError(
            ResultCode.BAD_FIELD,
            'If-Match must name the generation that the change starts from',
        )
    return generation


def _changes_as_dicts(before: Config, after: Config) -> list[dict[str, Any]]:
    return [asdict(change) for change in list_changes(before, after)]


async def _write(
    request: web.Request,
    config: Config,
    expected: int,
    changes: list[dict[str, Any]],
) -> int:
    context = request.app[CONTEXT]
    author = request[OPERATOR]
    change_id = uuid.uuid4().hex
    generation = await context.apply(config, expected, author, change_id)
    _log.info('wrote generation %d for %s', generation, author)
    await context.record(
        generation,
        {
            'generation': generation,
            'author': author,
            'change_id': change_id,
            'changes': changes,
        },
    )
    return generation


async def _edit(request: web.Request, edit: Edit) -> int:
    """Apply a single edit; after a conflict retry on the new generation."""
    context = request.app[CONTEXT]
    await context.refresh()
    for _ in range(EDIT_ATTEMPTS):
        catalog = context.blackboard.catalog
        edited = edit(catalog.config)
        if edited.is_err():
            raise AdminError(
                ResultCode.BAD_CONFIGURATION,
                str(edited.unwrap_err()),
                place=edited.unwrap_err().place,
            )
        config = edited.unwrap()
        changes = _changes_as_dicts(catalog.config, config)
        if not changes:
            return catalog.generation
        try:
            return await _write(request, config, catalog.generation, changes)
        except StoreConflictError:
            await context.refresh()
    raise conflict_error(context, 'other operators kept writing')


async def _post_key(request: web.Request) -> web.Response:
    fields = await _read_fields(request, 'name', 'workspace')
    key = generate_key()
    edit = grant_key(fields['name'], fields['workspace'], key_digest(key))
    generation = await _edit(request, edit)
    return web.json_response({'generation': generation, 'key': key})


async def _read_fields(request: web.Request, *names: str) -> dict[str, str]:
    try:
        body = await request.json()
    except ValueError as error:
        raise AdminError(ResultCode.BAD_JSON, str(error)) from error
    if not isinstance(body, dict):
        raise AdminError(ResultCode.BAD_FIELD, 'an object is expected')
    for name in names:
        if not isinstance(body.get(name), str):
            raise AdminError(ResultCode.BAD_FIELD, f'`{name}` is missing')
    return body


async def _edit_by_name(
    request: web.Request,
    make_edit: Callable[[str], Edit],
) -> web.Response:
    generation = await _edit(request, make_edit(request.match_info['name']))
    return web.json_response({'generation': generation})


async def _get_status(request: web.Request) -> web.Response:
    context = request.app[CONTEXT]
    if request.query.get('all') == 'true':
        return web.json_response(await context.status_of_all())
    return web.json_response(context.status())


async def _get_audit(request: web.Request) -> web.Response:
    last_count = parse_whole_number(request.query.get('last', '20'))
    if last_count is None or not 1 <= last_count <= 100:
        raise AdminError(ResultCode.BAD_FIELD, '`last` must be 1 to 100')
    records = await request.app[CONTEXT].audit(last_count)
    return web.json_response({'records': records})


async def _get_explanation(request: web.Request) -> web.Response:
    query = request.query
    if not query.get('workspace') or not (
        query.get('program') or query.get('request')
    ):
        raise AdminError(
            ResultCode.BAD_FIELD,
            '`workspace` and one of `program`, `request` are needed',
        )
    explanation = await request.app[CONTEXT].explain(
        query['workspace'],
        query.get('program', ''),
        query.get('request', ''),
    )
    return web.json_response(explanation)


@functools.cache
def _openapi_text() -> str:
    return json.dumps(json.loads(_OPENAPI_PATH.read_text()))


async def _get_openapi(request: web.Request) -> web.Response:
    return web.Response(text=_openapi_text(), content_type='application/json')


_ROUTES = (
    web.get('/v1/config', _get_config),
    web.put('/v1/config', _put_config),
    web.post('/v1/keys', _post_key),
    web.delete(
        '/v1/keys/{name}',
        functools.partial(_edit_by_name, make_edit=withdraw_key),
    ),
    web.put(
        '/v1/drains/{name}',
        functools.partial(_edit_by_name, make_edit=drain_endpoint),
    ),
    web.delete(
        '/v1/drains/{name}',
        functools.partial(_edit_by_name, make_edit=undrain_endpoint),
    ),
    web.get('/v1/status', _get_status),
    web.get('/v1/audit', _get_audit),
    web.get('/v1/explain', _get_explanation),
    web.get('/v1/openapi.json', _get_openapi),
)
