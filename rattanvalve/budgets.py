"""Budgets of programs, accounted to the root program."""

from dataclasses import dataclass, field

from rattanvalve import outcomes
from rattanvalve.errors import InvariantError
from rattanvalve.inventory import Budget
from rattanvalve.messages import Usage

__all__ = (
    'Account',
    'Reservation',
    'add_reservation',
    'charge',
    'merge',
    'reserve',
    'used_tokens',
)

#: Timeout of a request that states none, in seconds.
DEFAULT_TIMEOUT_S = 600.0


@dataclass(slots=True, kw_only=True)
class Reservation:
    """Upper bound of the tokens, seconds and calls of one ticket."""

    tokens: int = 0
    seconds: float = 0
    calls: int = 1


@dataclass(slots=True, kw_only=True)
class Account:
    """Spending of a root program and all its sub-agents.

    ``own_tokens`` are the tokens that no other account of the same root has
    counted: all tokens of a live account, and the tokens of the recorded runs
    of an account that was rebuilt from records. ``names`` are the root programs
    that were merged into this account, and ``program_count`` is the number of
    programs that use it.
    """

    names: list[str] = field(default_factory=list)
    program_count: int = 0

    tokens: int = 0
    own_tokens: int = 0
    calls: int = 0
    seconds: float = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0
    reserved_seconds: float = 0


def reserve(
    account: Account,
    budget: Budget,
    tokens: int,
    timeout_s: float,
) -> Reservation | None:
    """Reserve the largest spending of a ticket.

    :param account: account of the root program.
    :param budget: limits of the root program.
    :param tokens: prompt tokens plus the largest output in tokens.
    :param timeout_s: deadline in seconds; 0 for the default.
    :returns: reservation, whose seconds are capped by the remaining seconds of
        the budget, or ``None`` if the budget is exhausted.
    :raises InvariantError: if the reservation would exceed the budget.
    """
    remaining_tokens = budget.program_tokens - account.tokens
    remaining_s = (
        budget.program_seconds - account.seconds - account.reserved_seconds
    )
    remaining_calls = (
        budget.program_calls - account.calls - account.reserved_calls
    )
    is_short = tokens > remaining_tokens - account.reserved_tokens
    if is_short or remaining_calls < 1 or remaining_s <= 0:
        return None
    reservation = Reservation(
        tokens=max(0, tokens),
        seconds=min(timeout_s or DEFAULT_TIMEOUT_S, remaining_s),
    )
    add_reservation(account, reservation)
    if account.tokens + account.reserved_tokens > budget.program_tokens:
        raise InvariantError('reservations exceed the token budget')
    if account.calls + account.reserved_calls > budget.program_calls:
        raise InvariantError('reservations exceed the call budget')
    return reservation


def add_reservation(account: Account, reservation: Reservation) -> None:
    """Add a reservation that this or an earlier owner has already checked.

    :param account: account of the root program.
    :param reservation: reservation of a running ticket.
    """
    account.reserved_tokens += reservation.tokens
    account.reserved_calls += reservation.calls
    account.reserved_seconds += reservation.seconds


def charge(
    account: Account,
    reservation: Reservation,
    outcome: str,
    usage: Usage,
    elapsed_s: float,
) -> None:
    """Replace the reservation of a ticket by its actual spending.

    :param account: account of the root program.
    :param reservation: reservation of the ticket.
    :param outcome: outcome name; ``not_run`` is not charged, and any outcome
        except ``answered`` is charged with the whole reservation.
    :param usage: tokens used.
    :param elapsed_s: seconds since the ticket was issued.
    :raises InvariantError: if a reservation becomes negative.
    """
    account.reserved_tokens -= reservation.tokens
    account.reserved_calls -= reservation.calls
    account.reserved_seconds -= reservation.seconds
    if min(account.reserved_tokens, account.reserved_calls) < 0:
        raise InvariantError('the reserved tokens or calls are negative')
    if outcome == outcomes.NOT_RUN:
        return
    spent = used_tokens(usage)
    if outcome != outcomes.ANSWERED:
        spent, elapsed_s = reservation.tokens, reservation.seconds
    account.tokens += spent
    account.own_tokens += spent
    account.calls += reservation.calls
    account.seconds += min(max(0, elapsed_s), reservation.seconds)


def used_tokens(usage: Usage) -> int:
    """Return the number of tokens to charge for a run.

    :param usage: usage that an endpoint reported.
    :returns: sum of prompt and output tokens; negative counts are taken as 0.
    """
    return max(0, usage.prompt_tokens) + max(0, usage.output_tokens)


def merge(target: Account, other: Account) -> None:
    """Merge the account of a sub-agent into the account of its root program.

    :param target: account that receives the totals.
    :param other: account to discard afterwards.
    """
    # The tokens of a rebuilt account already include the spending of the other
    # account up to the newest recorded ticket. Each sum is therefore an upper
    # bound, and the smaller one is closer.
    tokens = min(
        target.tokens + other.own_tokens,
        other.tokens + target.own_tokens,
    )
    target.names.extend(other.names)
    target.program_count += other.program_count
    target.tokens = tokens
    target.own_tokens += other.own_tokens
    target.calls += other.calls
    target.seconds += other.seconds
    target.reserved_tokens += other.reserved_tokens
    target.reserved_calls += other.reserved_calls
    target.reserved_seconds += other.reserved_seconds
