"""State of one workspace shard: rebuild from records, export and import."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import msgspec

from rattanvalve import budgets, outcomes
from rattanvalve.idempotency import Attempt
from rattanvalve.messages import RecordSummary
from rattanvalve.programs import Program, ProgramLedger
from rattanvalve.ratelimit import Bucket
from rattanvalve.retries import RetryBudget

__all__ = (
    'MissingEndpoint',
    'SealState',
    'Shard',
    'ShardPart',
    'add_records',
    'export_parts',
    'import_parts',
)

#: Largest number of attempts, of programs and of accounts in one part. An
#: attempt takes about 1 KB, so a part stays below the frame limit of 16 MiB.
ITEMS_PER_PART_COUNT = 4000
# Placeholder rate, close to zero, so that an imported bucket is not refilled
# before it gets its configured rate.
_UNSET_RATE_PER_S = 1e-9


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingEndpoint:
    """An endpoint that a takeover could not seal.

    ``since_s`` is the time from which this process serves without the records
    of the endpoint, in monotonic seconds.
    """

    name: str
    service_name: str
    incarnation: str
    host: str
    port: int
    since_s: float


@dataclass(slots=True, kw_only=True)
class SealState:
    """Completeness of the records that a takeover collected.

    ``missing`` contains the unsealed endpoints by name. ``is_level_known``
    states that all admissions of the previous owner were reported, so that the
    level of the rate limit can be computed.
    """

    missing: dict[str, MissingEndpoint] = field(default_factory=dict)
    is_level_known: bool = False


@dataclass(slots=True, kw_only=True)
class Shard:
    """State of one workspace shard at its owner.

    ``is_touched`` states that tickets were issued since the last takeover, and
    ``is_reported`` that the end of a ticket was reported since then. A handover
    that arrives later is ignored, since it would overwrite these changes.
    """

    bucket: Bucket
    seal: SealState
    ledger: ProgramLedger = field(default_factory=ProgramLedger)
    retries: RetryBudget = field(default_factory=RetryBudget)
    is_touched: bool = False
    is_reported: bool = False


@dataclass(slots=True, kw_only=True)
class ShardPart:
    """Encoded part of a shard that is handed over to the next owner.

    Times are on the clock of the exporting process. The importing process
    shifts them by the difference between its own time and ``now_s``.
    """

    workspace: str
    shard: int
    index: int
    part_count: int
    now_s: float
    level: float
    retry_balance: float
    seal: SealState
    programs: list[Program] = field(default_factory=list)
    accounts: list[budgets.Account] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


def add_records(
    ledger: ProgramLedger,
    records: Iterable[RecordSummary],
    now_s: float,
) -> int:
    """Rebuild programs, accounts and attempts from endpoint records.

    :param ledger: ledger of the shard; records of ticket numbers that it
        contains already are skipped.
    :param records: records of the shard from all endpoints.
    :param now_s: current time in seconds.
    :returns: number of added records.
    """
    added_count = 0
    for record in sorted(records, key=_rebuild_key):
        if record.ticket.number not in ledger.attempts.by_number:
            _add_record(ledger, record, now_s)
            added_count += 1
    return added_count


def _rebuild_key(record: RecordSummary) -> tuple[bool, int, int]:
    """Sort finished turns first, then running ones with the newest first."""
    turn = record.ticket.turn
    if record.outcome == outcomes.RUNNING:
        return True, -turn, record.age_ms
    return False, turn, -record.age_ms


def _add_record(
    ledger: ProgramLedger,
    record: RecordSummary,
    now_s: float,
) -> None:
    ticket = record.ticket
    program = ledger.ensure_program(ticket.program_id, '', now_s)
    attempt = Attempt(
        ticket=ticket,
        reservation=budgets.Reservation(
            tokens=ticket.reserved_tokens,
            seconds=ticket.timeout_ms / 1000,
        ),
        outcome=record.outcome,
        issued_s=now_s - record.age_ms / 1000,
    )
    if ticket.turn >= program.turn and record.outcome != outcomes.NOT_RUN:
        program.digest = ticket.history_digest or program.digest
        program.endpoints[ticket.service_name] = ticket.endpoint
    program.turn = max(program.turn, ticket.turn)
    account = ledger.accounts.get_or_create(program.root)
    account.tokens = max(account.tokens, ticket.attained_tokens)
    account.calls = max(account.calls, ticket.turn - 1)
    budgets.add_reservation(account, attempt.reservation)
    if record.outcome == outcomes.RUNNING:
        if not program.running:
            program.running = ticket.number
            ledger.attempts.add(attempt, is_rebuilt=True)
            return
        # The program has a newer running turn. This older run is charged in
        # full, and a late report may still state its outcome.
        attempt.outcome = outcomes.UNKNOWN
    ledger.attempts.add(attempt, is_rebuilt=True)
    ledger.attempts.finish(attempt, attempt.outcome, now_s)
    budgets.charge(
        account,
        attempt.reservation,
        attempt.outcome,
        record.usage,
        elapsed_s=0,
    )


def export_parts(
    name: tuple[str, int],
    shard: Shard,
    now_s: float,
) -> list[bytes]:
    """Encode a shard for its next owner.

    :param name: workspace and shard index.
    :param shard: state to encode.
    :param now_s: current time in seconds.
    :returns: encoded parts, each of which fits into one frame.
    """
    shard.bucket.refill(now_s)
    attempts = _unique_attempts(shard.ledger)
    programs = list(shard.ledger.programs.values())
    accounts = _unique_accounts(shard.ledger)
    largest_count = max(len(attempts), len(programs), len(accounts), 1)
    starts = range(0, largest_count, ITEMS_PER_PART_COUNT)
    return [
        msgspec.msgpack.encode(
            ShardPart(
                workspace=name[0],
                shard=name[1],
                index=index,
                part_count=len(starts),
                now_s=now_s,
                level=shard.bucket.level,
                retry_balance=shard.retries.balance,
                seal=shard.seal,
                programs=programs[start : start + ITEMS_PER_PART_COUNT],
                accounts=accounts[start : start + ITEMS_PER_PART_COUNT],
                attempts=attempts[start : start + ITEMS_PER_PART_COUNT],
            ),
        )
        for index, start in enumerate(starts)
    ]


def _unique_attempts(ledger: ProgramLedger) -> list[Attempt]:
    """Return each attempt once, in the order in which they ended."""
    by_number = ledger.attempts.by_number
    attempts = [
        attempt
        for number, attempt in by_number.items()
        if number == attempt.ticket.number
    ]
    return sorted(attempts, key=lambda attempt: attempt.finished_s)


def _unique_accounts(ledger: ProgramLedger) -> list[budgets.Account]:
    """Return each account once; linked roots share an account."""
    shared = {id(each): each for each in ledger.accounts.by_root.values()}
    return list(shared.values())


def import_parts(parts: list[ShardPart], now_s: float) -> Shard:
    """Rebuild a shard from all of its parts.

    :param parts: all parts of one export, in order.
    :param now_s: current time in seconds.
    :returns: the shard; its bucket gets its rate when the shard is next used.
    """
    first = parts[0]
    shift_s = now_s - first.now_s
    first.seal.missing = {
        name: replace(missing, since_s=missing.since_s + shift_s)
        for name, missing in first.seal.missing.items()
    }
    # The next use of the shard caps the level at the configured burst.
    bucket = Bucket(_UNSET_RATE_PER_S, first.level, now_s)
    bucket.reset_level(first.level, now_s)
    shard = Shard(bucket=bucket, seal=first.seal)
    shard.retries.balance = first.retry_balance
    ledger = shard.ledger
    for part in parts:
        _import_programs(ledger, part, shift_s)
        for attempt in part.attempts:
            _import_attempt(ledger, attempt, shift_s)
    return shard


def _import_programs(
    ledger: ProgramLedger,
    part: ShardPart,
    shift_s: float,
) -> None:
    for account in part.accounts:
        ledger.accounts.by_root.update(dict.fromkeys(account.names, account))
    for program in part.programs:
        program.active_s += shift_s
        ledger.programs[program.program_id] = program


def _import_attempt(
    ledger: ProgramLedger,
    attempt: Attempt,
    shift_s: float,
) -> None:
    attempt.issued_s += shift_s
    ledger.attempts.add(attempt, is_rebuilt=True)
    for number in attempt.numbers:
        ledger.attempts.by_number[number] = attempt
    if attempt.outcome != outcomes.RUNNING:
        ledger.attempts.finish(
            attempt,
            attempt.outcome,
            attempt.finished_s + shift_s,
        )
