"""Measures bytes on the wire of each message with sample contents."""

import json
from collections.abc import Iterator

from rattanvalve import messages
from rattanvalve.capacity.samples import (
    EVENT,
    SERVICE,
    ConfigSize,
    announce,
    begin,
    config_document,
    finish,
    sample_view,
    summary,
    ticket,
)
from rattanvalve.views import encode_view
from rattanvalve.wire import LENGTH_BYTES, MAC_BYTES, encode_struct

__all__ = ('CHANGE', 'WIRE_HEADER', 'frame_bytes', 'wire_rows')

WIRE_HEADER = ('message', 'bytes on the wire')
_FRAME_OVERHEAD_BYTES = LENGTH_BYTES + 2 + MAC_BYTES
_COUNTS = (10, 100, 1000)
#: A program of 25 turns has about 50 messages, one of 50 turns about 100.
_MESSAGE_COUNTS = (2, 50, 100)
_KEY_COUNTS = (1, 2, 3)
_WORKSPACE_COUNT = 1800

#: One change, in the form of the differences between generations.
CHANGE = {
    'generation': 123_456,
    'change_id': '0123456789abcdef0123456789abcdef',
    'author': 'operator-name',
    'changes': [
        {
            'path': ['rules', 'rates', 'workspace-00001'],
            'before': {'rate_per_s': 1000.5, 'burst': 2_000_000},
            'after': {'rate_per_s': 1200.5, 'burst': 2_400_000},
        },
    ],
}


def frame_bytes(message: object) -> int:
    """Compute the size of a message including its frame.

    :param message: instance of a class in :mod:`rattanvalve.messages`.
    :returns: size in bytes.
    """
    return _FRAME_OVERHEAD_BYTES + len(encode_struct(message))


def wire_rows() -> list[tuple[str, str]]:
    """Compute the sizes of all sample messages.

    :returns: name and size in bytes of each message.
    """
    return [(name, f'{size:,}') for name, size in _sizes()]


def _sizes() -> Iterator[tuple[str, int]]:
    yield from _control_sizes()
    yield from _request_sizes()
    for count in _COUNTS:
        view = sample_view(endpoint_count=count)
        yield f'View with {len(view.members)} members', frame_bytes(view)
        document = messages.Document(kind='view', body=encode_view(view))
        yield f'view document, {len(view.members)}', frame_bytes(document)
        seal = messages.Seal(view=view, owner='entry-01')
        yield f'Seal, {len(view.members)} members', frame_bytes(seal)
        yield (
            f'Sealed, {count} records',
            frame_bytes(
                messages.Sealed(
                    endpoint='endpoint-00001',
                    incarnation='0123456789abcdef',
                    epoch=123_456,
                    records=tuple(map(summary, range(count))),
                ),
            ),
        )
    yield from _config_sizes()


def _control_sizes() -> Iterator[tuple[str, int]]:
    entry = sample_view().members[-1]
    yield 'Announce', frame_bytes(announce(sample_view().members[0]))
    yield (
        'Heartbeat',
        frame_bytes(
            messages.Heartbeat(
                member=entry,
                epoch=123_456,
                generation=123_456,
                confirmation_age_ms=1500,
                is_store_reachable=True,
            ),
        ),
    )
    ack = messages.Ack(
        epoch=123_456,
        generation=123_456,
        confirmation_age_ms=1500,
        is_store_reachable=True,
    )
    yield 'Ack', frame_bytes(ack)


def _request_sizes() -> Iterator[tuple[str, int]]:
    for count in _MESSAGE_COUNTS:
        begin_message = begin(1, message_count=count)
        yield f'Begin, {count} messages', frame_bytes(begin_message)
    yield 'Ticket', frame_bytes(ticket(1))
    yield (
        'Run without its body',
        frame_bytes(
            messages.Run(ticket=ticket(1), method='POST', path=SERVICE)
        ),
    )
    chunk = messages.Chunk(number=ticket(1).number, content=EVENT)
    yield f'Chunk with one event of {len(EVENT)} bytes', frame_bytes(chunk)
    yield 'Finish', frame_bytes(finish(1))
    settle = messages.Settle(number=ticket(1).number, epoch=123_456)
    yield 'Settle', frame_bytes(settle)


def _config_sizes() -> Iterator[tuple[str, int]]:
    for count in _COUNTS:
        yield f'configuration, {count} workspaces', _config_bytes(count, 1)
    for keys in _KEY_COUNTS:
        yield (
            f'configuration, {_WORKSPACE_COUNT} workspaces, {keys} keys each',
            _config_bytes(_WORKSPACE_COUNT, keys),
        )
    yield 'one change of the configuration', len(_compact(CHANGE))


def _config_bytes(workspace_count: int, keys: int) -> int:
    document = config_document(ConfigSize(workspace_count, keys))
    return len(_compact(document))


def _compact(document: object) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()
