"""Checks of what callers send: bodies, headers, paths and keys.

All functions are pure. They return the accepted value, or a refusal that is
sent before anything was run.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from rattanvalve.catalog import Catalog, Priority
from rattanvalve.keys import key_digest
from rattanvalve.messages import Refusal
from rattanvalve.resultcodes import ResultCode

__all__ = (
    'ChatBody',
    'check_headers',
    'check_id',
    'check_key',
    'check_priority',
    'check_service_path',
    'estimate_tokens',
    'parse_chat_body',
    'refuse',
)

MAX_HEADER_CHARS = 8192
MAX_ID_CHARS = 255
#: Average length of a token of English text in the usual vocabularies.
BYTES_PER_TOKEN = 4

_BEARER = 'bearer '
_ASCII_SPACE = 0x20
_ASCII_DELETE = 0x7F
#: Separators in disguise: encoded slash, backslash and percent sign.
_AMBIGUOUS_MARKS = ('%2f', '%5c', '%25', '\\')
_PRIORITY_NAMES = {
    'high': Priority.HIGH,
    'normal': Priority.NORMAL,
    'low': Priority.LOW,
}

Count = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
NonEmpty = Annotated[tuple[dict[str, Any], ...], msgspec.Meta(min_length=1)]


class ChatBody(msgspec.Struct, frozen=True):
    """Fields of a chat-completions body that scheduling needs.

    Other fields are not checked here; the engine gets the body as it is.
    """

    model: str
    messages: NonEmpty
    stream: bool | None = None
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    choice_count: Count | None = msgspec.field(default=None, name='n')
    resume_text: msgspec.UnsetType = msgspec.UNSET

    def limit_tokens(self) -> int:
        """Give the most tokens that the caller asked for.

        :returns: limit in tokens, or 0 if the body states none.
        """
        return self.max_completion_tokens or self.max_tokens or 0


@dataclass(frozen=True, slots=True)
class ServicePath:
    """A path within a service.

    ``raw`` is sent on with the query as the caller wrote it; ``plain`` is
    decoded, and the rules of the configuration are matched against it.
    """

    raw: str
    plain: str


def refuse(code: ResultCode, detail: str = '') -> Err[Refusal]:
    """Make the refusal of a check.

    :param code: result code.
    :param detail: text for the caller, without any secret.
    :returns: the refusal as an error value.
    """
    return Err(Refusal(code=code, detail=detail))


def parse_chat_body(raw: bytes, max_depth: int) -> Result[ChatBody, Refusal]:
    """Read and check a chat-completions body.

    :param raw: JSON text.
    :param max_depth: most levels of nested lists and objects.
    :returns: the checked fields, or a refusal.
    """
    try:
        document = msgspec.json.decode(raw)
    except RecursionError:
        return refuse(ResultCode.BODY_TOO_DEEP)
    except (msgspec.DecodeError, UnicodeError) as error:
        return refuse(ResultCode.BAD_JSON, str(error))
    if not _is_within_depth(document, max_depth):
        return refuse(ResultCode.BODY_TOO_DEEP, f'at most {max_depth} levels')
    try:
        return Ok(msgspec.convert(document, ChatBody))
    except msgspec.ValidationError as error:
        return refuse(ResultCode.BAD_FIELD, str(error))


def estimate_tokens(body: bytes) -> int:
    """Estimate the prompt tokens of a request from its size.

    :param body: request body.
    :returns: whole tokens, at 4 bytes for each token, rounded up.
    """
    return -(-len(body) // BYTES_PER_TOKEN)


def check_headers(headers: Mapping[str, str]) -> Result[None, Refusal]:
    """Check the length of all headers.

    :param headers: headers of the request.
    :returns: nothing, or a refusal that names the header.
    """
    for name, content in headers.items():
        if len(name) + len(content) > MAX_HEADER_CHARS:
            return refuse(ResultCode.HEADER_TOO_LONG, name[:MAX_ID_CHARS])
    return Ok(None)


def check_id(name: str, content: str) -> Result[str, Refusal]:
    """Check an identifier that a caller chose.

    :param name: header or path part, for the text of the refusal.
    :param content: identifier; may be empty.
    :returns: the identifier, or a refusal.
    """
    if len(content) > MAX_ID_CHARS:
        return refuse(ResultCode.HEADER_TOO_LONG, name)
    if not _is_printable_ascii(content):
        return refuse(ResultCode.BAD_FIELD, f'{name} is not printable ASCII')
    return Ok(content)


def check_priority(content: str, workspace: Priority) -> Result[int, Refusal]:
    """Choose the priority of a request.

    :param content: priority name of the caller, or an empty string.
    :param workspace: class of the workspace, which is the best possible.
    :returns: priority number, or a refusal of an unknown name.
    """
    if not content:
        return Ok(int(workspace))
    wanted = _PRIORITY_NAMES.get(content.lower())
    if wanted is None:
        return refuse(ResultCode.BAD_FIELD, 'Rattanvalve-Priority')
    return Ok(int(max(wanted, workspace)))


def check_key(
    authorization: str,
    catalog: Catalog,
) -> Result[tuple[str, str], Refusal]:
    """Find the workspace of the key that a caller sent.

    :param authorization: content of the ``Authorization`` header.
    :param catalog: newest configuration.
    :returns: key digest and workspace name, or a refusal.
    """
    scheme, key = authorization[: len(_BEARER)], authorization[len(_BEARER) :]
    key = key.strip()
    if scheme.lower() != _BEARER or not key:
        return refuse(ResultCode.KEY_MISSING)
    if not _is_printable_ascii(key):
        return refuse(ResultCode.KEY_UNKNOWN)
    digest = key_digest(key)
    workspace = catalog.workspace_of_key(digest)
    if workspace is None:
        return refuse(ResultCode.KEY_UNKNOWN)
    return Ok((digest, workspace))


def check_service_path(raw: str, query: str) -> Result[ServicePath, Refusal]:
    """Check a path within a service.

    Spellings that a server may read as another path are refused. Otherwise
    a request could avoid the rules for open and non-repeatable routes.

    :param raw: encoded path that starts with ``/``, without the query.
    :param query: encoded query, or an empty string.
    :returns: the path in both forms, or a refusal.
    """
    plain = unquote(raw)
    segments = plain.split('/')
    is_ambiguous = (
        not _is_printable_ascii(raw + query)
        or not _is_printable(plain)
        or any(mark in raw.lower() for mark in _AMBIGUOUS_MARKS)
        or any(segment in {'.', '..'} for segment in segments)
    )
    if is_ambiguous or '' in segments[1:-1]:
        return refuse(ResultCode.UNKNOWN_PATH, 'the path is ambiguous')
    target = f'{raw}?{query}' if query else raw
    return Ok(ServicePath(raw=target, plain=plain))


def _is_printable(content: str) -> bool:
    # U+FFFD stands for bytes that are not UTF-8.
    return content.isprintable() and '\ufffd' not in content


def _is_printable_ascii(content: str) -> bool:
    return all(_ASCII_SPACE <= ord(char) < _ASCII_DELETE for char in content)


def _is_within_depth(document: Any, max_depth: int) -> bool:
    """Compare the nesting with a limit, one level at a time."""
    level = [document] if isinstance(document, (dict, list)) else []
    for _ in range(max_depth):
        if not level:
            return True
        level = [
            part
            for container in level
            for part in _parts_of(container)
            if isinstance(part, (dict, list))
        ]
    return not level


def _parts_of(container: dict[str, Any] | list[Any]) -> Iterable[Any]:
    return container.values() if isinstance(container, dict) else container
