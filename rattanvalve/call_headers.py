"""Validates the headers of a caller and builds the request to the owner."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from result import Ok, Result

from rattanvalve.catalog import SUBAGENT_SEPARATOR, Catalog, root_program_id
from rattanvalve.messages import Begin, Header, Refusal
from rattanvalve.request_checks import (
    check_headers,
    check_id,
    check_key,
    check_priority,
    refuse,
)
from rattanvalve.responses import PROGRAM_HEADER
from rattanvalve.resultcodes import ResultCode

__all__ = (
    'Caller',
    'build_begin',
    'find_caller',
    'forwarded_headers',
    'keyed_program_id',
)

PARENT_HEADER = 'Rattanvalve-Parent'
PRIORITY_HEADER = 'Rattanvalve-Priority'
PROGRAM_END_HEADER = 'Rattanvalve-Program-End'
IDEMPOTENCY_HEADER = 'Idempotency-Key'

_ID_HEADERS = (
    PROGRAM_HEADER,
    PARENT_HEADER,
    PRIORITY_HEADER,
    PROGRAM_END_HEADER,
    IDEMPOTENCY_HEADER,
)
#: Headers that refer to state, which callers without a key would share.
_KEY_ONLY_HEADERS = (PROGRAM_HEADER, PARENT_HEADER, IDEMPOTENCY_HEADER)
#: Request headers forwarded to endpoints.
_FORWARDED_HEADERS = ('Content-Type', 'Accept')
_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class Caller:
    """Identity of a caller; both fields are empty on an open route."""

    key_digest: str = ''
    workspace: str = ''


def find_caller(
    headers: Mapping[str, str],
    catalog: Catalog,
    *,
    is_open_route: bool = False,
) -> Result[Caller, Refusal]:
    """Check all headers and identify the workspace of the caller.

    A key must be valid on an open route as well, so that a withdrawn key is
    rejected everywhere.

    :param headers: headers of the request.
    :param catalog: current configuration.
    :param is_open_route: whether the request needs no key.
    :returns: the caller, or a refusal.
    """
    checked = check_headers(headers).and_then(
        lambda _: _check_ids(headers),
    )
    if checked.is_err():
        return checked
    if is_open_route and 'Authorization' not in headers:
        if any(header in headers for header in _KEY_ONLY_HEADERS):
            return refuse(ResultCode.NOT_PERMITTED, 'a header needs a key')
        return Ok(Caller())
    identity = check_key(headers.get('Authorization', ''), catalog)
    return identity.map(lambda pair: Caller(*pair))


def build_begin(
    headers: Mapping[str, str],
    caller: Caller,
    catalog: Catalog,
) -> Result[Begin, Refusal]:
    """Build the fields of a request to the owner that come from headers.

    :param headers: headers accepted by :func:`find_caller`.
    :param caller: identity of the caller.
    :param catalog: current configuration.
    :returns: request to the owner, or a refusal.
    """
    workspace = caller.workspace
    priority = check_priority(
        headers.get(PRIORITY_HEADER, ''),
        catalog.priority_of(workspace),
    )
    if priority.is_err():
        return priority
    idempotency_key = headers.get(IDEMPOTENCY_HEADER, '')
    parent = headers.get(PARENT_HEADER, '')
    program_id = headers.get(PROGRAM_HEADER, '')
    if not program_id:
        program_id = _new_program_id(workspace, parent, idempotency_key)
    shard = catalog.shard_of(workspace, program_id)
    if parent and shard != catalog.shard_of(workspace, parent):
        return refuse(
            ResultCode.BAD_FIELD,
            'the program must begin with the root program and '
            f'{SUBAGENT_SEPARATOR}',
        )
    return Ok(
        Begin(
            request_id=secrets.token_hex(_ID_BYTES),
            workspace=workspace,
            shard=shard,
            key_digest=caller.key_digest,
            program_id=program_id,
            parent_program_id=parent,
            priority=priority.unwrap(),
            idempotency_key=idempotency_key,
            is_program_end=_is_true(headers.get(PROGRAM_END_HEADER, '')),
            config_generation=catalog.generation,
        ),
    )


def keyed_program_id(workspace: str, idempotency_key: str) -> str:
    """Derive the program of a request with a key but without a program.

    The id is deterministic, so that a repeated request reaches the shard that
    recorded the key.

    :param workspace: workspace name.
    :param idempotency_key: idempotency key of the request.
    :returns: program id of 32 hexadecimal digits.
    """
    source = f'{workspace}/{idempotency_key}'.encode()
    return blake2b(source, digest_size=_ID_BYTES).hexdigest()


def forwarded_headers(headers: Mapping[str, str]) -> tuple[Header, ...]:
    """Build the request headers for an endpoint.

    :param headers: headers of the caller.
    :returns: printable headers of the allow-list; API keys are not included.
    """
    return tuple(
        Header(name=name, content=headers[name])
        for name in _FORWARDED_HEADERS
        if name in headers and headers[name].isprintable()
    )


def _check_ids(headers: Mapping[str, str]) -> Result[str, Refusal]:
    """Check the headers that hold identifiers; return the first error."""
    checked: Result[str, Refusal] = Ok('')
    for name in _ID_HEADERS:
        checked = check_id(name, headers.get(name, ''))
        if checked.is_err():
            break
    return checked


def _is_true(content: str) -> bool:
    return content.lower() == 'true'


def _new_program_id(workspace: str, parent: str, idempotency_key: str) -> str:
    """Return a program id that identifies its root without a parent header."""
    program_id = (
        keyed_program_id(workspace, idempotency_key)
        if idempotency_key
        else secrets.token_hex(_ID_BYTES)
    )
    if not parent:
        return program_id
    return (
        f'{root_program_id(parent) or parent}{SUBAGENT_SEPARATOR}{program_id}'
    )
