"""Encodes forwarded requests and filters headers."""

from rattanvalve.gateway.calls import Call
from rattanvalve.platform import names

__all__ = ('encode_request', 'forwarded_headers')

#: Hop-by-hop headers and headers that the gateway sets anew, in lower case.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)


def forwarded_headers(
    raw_headers: tuple[tuple[bytes, bytes], ...],
) -> list[tuple[str, str]]:
    """Filter the headers of a request or response that may be forwarded.

    Drops hop-by-hop headers, reserved ones and those that a ``Connection``
    header lists.

    :param raw_headers: headers as received.
    :returns: names and values, in the order received.
    """
    decoded = [
        (name.decode('latin-1'), content.decode('latin-1'))
        for name, content in raw_headers
    ]
    connection_headers = {
        part.strip().lower()
        for name, content in decoded
        if name.lower() == 'connection'
        for part in content.split(',')
    }
    dropped = _CONNECTION_HEADERS | names.RESERVED_HEADERS | connection_headers
    return [
        (name, content)
        for name, content in decoded
        if name.lower() not in dropped
    ]


def encode_request(call: Call, endpoint_name: str, remaining_ms: int) -> bytes:
    """Encode a request to a server as HTTP/1.1.

    :param call: the request.
    :param endpoint_name: name of the server. Another server that has taken
        over its address refuses the request.
    :param remaining_ms: time until the deadline in milliseconds.
    :returns: head and body.
    """
    length = call.payload_bytes
    # Forward the bytes of the target unchanged.
    target = call.target.encode('utf-8', 'surrogateescape')
    request_line = b'%b %b HTTP/1.1' % (call.method.encode(), target)
    lines = ['']
    lines.extend(f'{name}: {content}' for name, content in call.headers)
    lines.extend(
        (
            f'{names.DEADLINE_MS}: {remaining_ms}',
            f'{names.EXPECTED_ENDPOINT}: {endpoint_name}',
            f'{names.PRIORITY}: {call.priority}',
        ),
    )
    if call.resume_after is not None:
        lines.append(f'{names.LAST_EVENT_ID}: {call.resume_after}')
    if call.workspace is not None:
        lines.append(f'{names.WORKSPACE}: {call.workspace.name}')
    if length or call.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {length}')
    head = '\r\n'.join((*lines, '', ''))
    head_bytes = request_line + head.encode('latin-1')
    return b''.join((head_bytes, *call.context, call.body))
