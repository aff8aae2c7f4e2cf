"""Journal of a stand-in: one JSON line for each event of a request."""

import time
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import TextIO

import msgspec
from aiohttp import web

__all__ = ('JournalLine', 'journal_writer', 'make_journal_line', 'read_journal')


class JournalLine(msgspec.Struct, kw_only=True):
    """One event; ``time_s`` is the stand-in's ``time.monotonic()``."""

    event: str
    server: str = ''
    request_id: str = ''
    cache_key: str = ''
    method: str = ''
    path: str = ''
    headers: dict[str, str] = {}
    body: str = ''
    time_s: float = 0


JournalWriter = Callable[[JournalLine], None]


def journal_writer(server: str, out: TextIO | None) -> JournalWriter:
    """Create a function that appends lines to a journal.

    :param server: name of the stand-in, written on each line.
    :param out: text file to append to; ``None`` discards the lines.
    :returns: function that sets server and time of a line, writes it and
        flushes the file, so that no line is lost when the stand-in is killed.
    """
    return partial(_write_line, server, out)


def _write_line(server: str, out: TextIO | None, line: JournalLine) -> None:
    line.server = server
    line.time_s = line.time_s or time.monotonic()
    if out is not None:
        out.write(f'{msgspec.json.encode(line).decode()}\n')
        out.flush()


def make_journal_line(
    event: str,
    request: web.Request,
    body: bytes,
) -> JournalLine:
    """Create a journal line for an event of an HTTP request.

    :param event: ``start``, ``end`` or ``cancel``.
    :param request: request.
    :param body: body of the request.
    :returns: line whose server and time the journal writer sets.
    """
    headers: Mapping[str, str] = request.headers
    return JournalLine(
        event=event,
        request_id=headers.get('X-Request-Id', ''),
        cache_key=headers.get('X-Cache-Key', ''),
        method=request.method,
        path=request.path_qs,
        headers=dict(headers),
        body=body.decode(errors='replace'),
    )


def read_journal(path: Path) -> list[JournalLine]:
    """Read a journal file.

    :param path: file of JSON lines.
    :returns: lines in file order; an incomplete last line is skipped.
    """
    decoder = msgspec.json.Decoder(JournalLine)
    return [
        decoder.decode(line)
        for line in path.read_bytes().splitlines(keepends=True)
        if line.endswith(b'\n')
    ]
