"""State of programs and requests for operators."""

from typing import Any

import msgspec

from rattanvalve.idempotency import Attempt
from rattanvalve.messages import Explain
from rattanvalve.shardtable import ShardTable

__all__ = ('describe',)


def describe(table: ShardTable, query: Explain) -> dict[str, Any]:
    """Return the state of a program, or of a request and its program.

    :param table: shards of the owner.
    :param query: workspace and shard, with a program id, or with a request id
        or idempotency key in ``request_id``.
    :returns: JSON-compatible data; empty if the shard has no such program or
        request.
    """
    shard = table.find(query.workspace, query.shard)
    if shard is None:
        return {}
    request_key = query.request_id
    attempt = (
        shard.ledger.attempts.find(request_key, request_key)
        if request_key
        else None
    )
    if request_key and attempt is None:
        return {}
    program_id = attempt.ticket.program_id if attempt else query.program_id
    document = _describe_attempt(attempt) if attempt else {}
    program = shard.ledger.programs.get(program_id)
    if program is not None:
        account = shard.ledger.accounts.get_or_create(program.root)
        document['program'] = msgspec.to_builtins(program)
        document['account'] = msgspec.to_builtins(account)
    if document:
        document['bucket_level'] = shard.bucket.level
        document['missing_endpoints'] = sorted(shard.seal.missing)
    return document


def _describe_attempt(attempt: Attempt) -> dict[str, Any]:
    ticket = attempt.ticket
    return {
        'request': {
            'request_id': ticket.request_id,
            'idempotency_key': ticket.idempotency_key,
            'outcome': attempt.outcome,
            'numbers': [*attempt.numbers],
            'turn': ticket.turn,
            'service': ticket.service_name,
            'endpoint': ticket.endpoint,
            'is_repeatable': ticket.is_repeatable,
        },
    }
