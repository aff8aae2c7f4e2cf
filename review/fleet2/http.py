"""A small HTTP/1.1 reader and writer for the stand-ins."""

import asyncio
from dataclasses import dataclass, field

HEAD_BYTES_MAX = 256 * 1024


class Headers(dict):
    """Headers by lower-case name."""

    def __missing__(self, name):
        return ''


@dataclass
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: Headers
    body: bytes = b''


@dataclass
class Answer:
    """What a client saw of the answer to one request.

    ``is_whole`` is false if the channel ended before the end of the body.
    """

    status: int = 0
    headers: Headers = field(default_factory=Headers)
    body: bytes = b''
    is_whole: bool = False
    began_s: float = 0
    ended_s: float = 0
    error: str = ''


def parse_headers(lines):
    """Parse header lines."""
    headers = Headers()
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return headers


async def read_request(reader, ahead=b''):
    """Read one request; raises ``IncompleteReadError`` at the end."""
    head = ahead + await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1').strip().split('\r\n')
    method, target, _ = start.split(' ')
    request = Request(method, target, parse_headers(lines))
    length = int(request.headers['content-length'] or 0)
    if length:
        request.body = await reader.readexactly(length)
    return request


def encode_answer(status, body=b'', **headers):
    """Encode an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name.replace("_", "-")}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def send_request(host, port, method, path, headers, body=b'', timeout_s=10):
    """Send one request on a new channel and read its answer."""
    loop = asyncio.get_running_loop()
    answer = Answer(began_s=loop.time())
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(answer, host, port, method, path, headers, body)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.error = type(error).__name__
    answer.ended_s = loop.time()
    return answer


async def _exchange(answer, host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port, limit=HEAD_BYTES_MAX)
    try:
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join((*lines, '', '')).encode('latin-1') + body)
        await writer.drain()
        head = await reader.readuntil(b'\r\n\r\n')
        start, *rest = head.decode('latin-1').strip().split('\r\n')
        answer.headers = parse_headers(rest)
        answer.status = int(start.split(' ')[1])
        await _read_body(answer, reader)
        answer.is_whole = True
    finally:
        writer.transport.abort()


async def _read_body(answer, reader):
    if 'chunked' in answer.headers['transfer-encoding']:
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return
            answer.body += chunk[:-2]
    length = answer.headers['content-length']
    if length:
        answer.body = await reader.readexactly(int(length))
    else:
        answer.body = await reader.read()
