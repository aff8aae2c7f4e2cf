"""Validation of the bodies, headers, paths and keys that callers send.

All functions are pure. They return the validated value, or a refusal that is
sent before the request runs.
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
#: Average token length of English text in common vocabularies.
BYTES_PER_TOKEN = 4

_BEARER = 'bearer '
_ASCII_SPACE = 0x20
_ASCII_DELETE = 0x7F
#: Sequences that a server may read as a path separator or decode twice: encoded
#: slash, backslash and percent sign, and a literal backslash.
_AMBIGUOUS_SEQUENCES = ('%2f', '%5c', '%25', '\\')
_PRIORITY_NAMES = {
    'high': Priority.HIGH,
    'normal': Priority.NORMAL,
    'low': Priority.LOW,
}

PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
MessageList = Annotated[tuple[dict[str, Any], ...], msgspec.Meta(min_length=1)]


class ChatBody(msgspec.Struct, frozen=True):
    """Fields of a chat-completions body that scheduling needs.

    Other fields are not checked here; the engine gets the whole body.
    ``resume_text`` is internal, so a caller may not set it.
    """

    model: str
    messages: MessageList
    stream: bool | None = None
    max_tokens: PositiveCount | None = None
    max_completion_tokens: PositiveCount | None = None
    choice_count: PositiveCount | None = msgspec.field(default=None, name='n')
    resume_text: msgspec.UnsetType = msgspec.UNSET

    def requested_max_tokens(self) -> int:
        """Return the output limit that the caller requested.

        :returns: limit in tokens; 0 if the body states none.
        """
        return self.max_completion_tokens or self.max_tokens or 0


@dataclass(frozen=True, slots=True)
class ServicePath:
    """A path within a service.

    ``raw`` is encoded as the caller sent it, includes the query and is
    forwarded. ``decoded`` is the percent-decoded path without the query, which
    the rules of the configuration match.
    """

    raw: str
    decoded: str


def refuse(code: ResultCode, detail: str = '') -> Err[Refusal]:
    """Build the refusal of a check.

    :param code: result code.
    :param detail: text for the caller; must not contain secrets.
    :returns: refusal as an error result.
    """
    return Err(Refusal(code=code, detail=detail))


def parse_chat_body(raw: bytes, max_depth: int) -> Result[ChatBody, Refusal]:
    """Decode and validate a chat-completions body.

    :param raw: JSON text.
    :param max_depth: maximum nesting of lists and objects.
    :returns: validated fields, or a refusal.
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
    :returns: tokens at 4 bytes each, rounded up.
    """
    return -(-len(body) // BYTES_PER_TOKEN)


def check_headers(headers: Mapping[str, str]) -> Result[None, Refusal]:
    """Check the length of each header, name and content together.

    :param headers: headers of the request.
    :returns: ``None``, or a refusal that names the header.
    """
    for name, content in headers.items():
        if len(name) + len(content) > MAX_HEADER_CHARS:
            return refuse(ResultCode.HEADER_TOO_LONG, name[:MAX_ID_CHARS])
    return Ok(None)


def check_id(name: str, content: str) -> Result[str, Refusal]:
    """Check the length and characters of an identifier set by a caller.

    :param name: name of the header or path part, for the refusal text.
    :param content: identifier; may be empty.
    :returns: unchanged identifier, or a refusal.
    """
    if len(content) > MAX_ID_CHARS:
        return refuse(ResultCode.HEADER_TOO_LONG, name)
    if not _is_printable_ascii(content):
        return refuse(ResultCode.BAD_FIELD, f'{name} is not printable ASCII')
    return Ok(content)


def check_priority(content: str, workspace: Priority) -> Result[int, Refusal]:
    """Compute the priority of a request.

    :param content: priority name from the caller, or an empty string.
    :param workspace: class of the workspace, the highest that its requests
        may have.
    :returns: priority number, or a refusal of an unknown name.
    """
    if not content:
        return Ok(int(workspace))
    requested = _PRIORITY_NAMES.get(content.lower())
    if requested is None:
        return refuse(ResultCode.BAD_FIELD, 'Rattanvalve-Priority')
    return Ok(int(max(requested, workspace)))


def check_key(
    authorization: str,
    catalog: Catalog,
) -> Result[tuple[str, str], Refusal]:
    """Look up the workspace of an API key.

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

    A path that a server may interpret as another path is refused. Otherwise
    a request could bypass the rules for open and non-repeatable routes.

    :param raw: encoded path that starts with ``/``, without the query.
    :param query: encoded query, or an empty string.
    :returns: encoded and decoded path, or a refusal of an ambiguous path.
    """
    decoded = unquote(raw)
    segments = decoded.split('/')
    is_ambiguous = (
        not _is_printable_ascii(raw + query)
        or not _is_printable(decoded)
        or any(sequence in raw.lower() for sequence in _AMBIGUOUS_SEQUENCES)
        or any(segment in {'.', '..'} for segment in segments)
    )
    if is_ambiguous or '' in segments[1:-1]:
        return refuse(ResultCode.UNKNOWN_PATH, 'the path is ambiguous')
    target = f'{raw}?{query}' if query else raw
    return Ok(ServicePath(raw=target, decoded=decoded))


def _is_printable(content: str) -> bool:
    # ``unquote`` replaces bytes that are not UTF-8 by U+FFFD.
    return content.isprintable() and '\ufffd' not in content


def _is_printable_ascii(content: str) -> bool:
    return all(_ASCII_SPACE <= ord(char) < _ASCII_DELETE for char in content)


def _is_within_depth(document: Any, max_depth: int) -> bool:
    """Check the nesting breadth-first, without recursion."""
    level = [document] if isinstance(document, (dict, list)) else []
    for _ in range(max_depth):
        if not level:
            return True
        level = [
            child
            for container in level
            for child in _children_of(container)
            if isinstance(child, (dict, list))
        ]
    return not level


def _children_of(container: dict[str, Any] | list[Any]) -> Iterable[Any]:
    return container.values() if isinstance(container, dict) else container
