"""Budgets of programs, counted to the root program."""

from dataclasses import dataclass, field

from rattanvalve import outcomes
from rattanvalve.errors import InvariantError
from rattanvalve.inventory import Budget
from rattanvalve.messages import Usage

__all__ = (
    'Account',
    'Reservation',
    'charge',
    'hold',
    'merge',
    'reserve',
    'used_tokens',
)

#: Used when a request states no timeout.
DEFAULT_TIMEOUT_S = 600.0


@dataclass(slots=True, kw_only=True)
class Reservation:
    """What one ticket may spend at most."""

    tokens: int = 0
    seconds: float = 0
    calls: int = 1


@dataclass(slots=True, kw_only=True)
class Account:
    """Spending of a root program and all its sub-agents.

    ``own_tokens`` are those that no other account of the same root can have
    counted: all of a live account, the recorded part of a rebuilt one.
    ``names`` are the root programs that were merged into this account, and
    ``program_count`` counts the programs that use it.
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
    """Reserve what a ticket may spend.

    :param account: account of the root program.
    :param budget: limits of the root program.
    :param tokens: prompt tokens plus the largest output in tokens.
    :param timeout_s: deadline in seconds; 0 for the default.
    :returns: reservation, whose seconds may be fewer than the timeout, or
        ``None`` if the budget is exhausted.
    :raises InvariantError: if the reservation would exceed the budget.
    """
    left_tokens = budget.program_tokens - account.tokens
    left_s = budget.program_seconds - account.seconds - account.reserved_seconds
    left_calls = budget.program_calls - account.calls - account.reserved_calls
    is_short = tokens > left_tokens - account.reserved_tokens
    if is_short or left_calls < 1 or left_s <= 0:
        return None
    reservation = Reservation(
        tokens=max(0, tokens),
        seconds=min(timeout_s or DEFAULT_TIMEOUT_S, left_s),
    )
    hold(account, reservation)
    if account.tokens + account.reserved_tokens > budget.program_tokens:
        raise InvariantError('reservation above the token budget')
    if account.calls + account.reserved_calls > budget.program_calls:
        raise InvariantError('reservation above the call budget')
    return reservation


def hold(account: Account, reservation: Reservation) -> None:
    """Add a reservation that was checked, here or by an earlier owner.

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
    """Replace a reservation by what was spent.

    :param account: account of the root program.
    :param reservation: reservation of the ticket.
    :param outcome: outcome name; unknown outcomes are charged in full.
    :param usage: tokens used.
    :param elapsed_s: seconds since the ticket was issued.
    :raises InvariantError: if a reservation becomes negative.
    """
    account.reserved_tokens -= reservation.tokens
    account.reserved_calls -= reservation.calls
    account.reserved_seconds -= reservation.seconds
    if min(account.reserved_tokens, account.reserved_calls) < 0:
        raise InvariantError('negative reservation')
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
    """Count the tokens that are charged.

    :param usage: usage that an endpoint reported.
    :returns: prompt and output tokens.
    """
    return max(0, usage.prompt_tokens) + max(0, usage.output_tokens)


def merge(target: Account, other: Account) -> None:
    """Count another account to the same root program.

    :param target: account that stays.
    :param other: account that is given up.
    """
    # The tokens of a rebuilt account include what the other one had spent when
    # its newest ticket was issued, so each sum alone is an upper bound.
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
