"""Describes programs and requests to operators."""

from typing import Any

import msgspec

from rattanvalve.idempotency import Attempt
from rattanvalve.messages import Explain
from rattanvalve.shardtable import ShardTable

__all__ = ('describe',)


def describe(table: ShardTable, asked: Explain) -> dict[str, Any]:
    """Describe a program, or a request and its program.

    :param table: shards of the owner.
    :param asked: workspace and shard, with a program id, or with a request id
        or idempotency key in ``request_id``.
    :returns: plain data for JSON; empty if the shard does not know it.
    """
    shard = table.find(asked.workspace, asked.shard)
    if shard is None:
        return {}
    name = asked.request_id
    attempt = shard.ledger.attempts.find(name, name) if name else None
    if name and attempt is None:
        return {}
    program_id = attempt.ticket.program_id if attempt else asked.program_id
    found = _describe_attempt(attempt) if attempt else {}
    program = shard.ledger.programs.get(program_id)
    if program is not None:
        account = shard.ledger.accounts.of_root(program.root)
        found['program'] = msgspec.to_builtins(program)
        found['account'] = msgspec.to_builtins(account)
    if found:
        found['bucket_level'] = shard.bucket.level
        found['missing_endpoints'] = sorted(shard.seal.missing)
    return found


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
