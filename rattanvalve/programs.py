"""Ledger of one workspace shard: turn order, budgets and history forks."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from rattanvalve import budgets, outcomes
from rattanvalve.accounts import RootAccounts
from rattanvalve.catalog import root_program_id
from rattanvalve.errors import InvariantError
from rattanvalve.history import is_continuation
from rattanvalve.idempotency import Attempt, AttemptIndex
from rattanvalve.inventory import Budget
from rattanvalve.messages import Begin, Ticket, Usage
from rattanvalve.programcaches import ProgramCaches

__all__ = ('PROGRAM_IDLE_S', 'Program', 'ProgramLedger', 'Turn')

#: A program that has no running call expires after this idle time, in seconds.
PROGRAM_IDLE_S = 3600.0
MAX_PROGRAM_COUNT = 50_000
# Shorter idle limit in seconds that applies while the ledger is full. Programs
# used more recently stay, since an evicted program restarts with a new budget.
_EVICTABLE_IDLE_S = 60.0
# Programs checked for expiry per call. It bounds the work of a call and is
# enough to shrink the ledger, since each call adds at most one program.
_SWEEP_COUNT = 4


@dataclass(slots=True, kw_only=True)
class Program:
    """Turn order, history digest and cache locations of one program.

    ``running`` is the number of the running ticket, empty if there is none.
    """

    program_id: str
    root: str
    turn: int = 0
    running: str = ''
    digest: int = 0
    #: Most recent endpoint by service; an engine may hold a cache.
    endpoints: dict[str, str] = field(default_factory=dict)
    active_s: float = 0
    longest_pause_s: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Turn:
    """A turn whose budget is reserved and whose ticket is not issued yet."""

    program: Program
    number: int
    reservation: budgets.Reservation
    attained_tokens: int


class ProgramLedger:
    """Programs, budget accounts and attempts of one workspace shard."""

    def __init__(self) -> None:
        self.attempts = AttemptIndex()
        #: Ordered by last activity, least recent first.
        self.programs: OrderedDict[str, Program] = OrderedDict()
        self.accounts = RootAccounts()
        self.caches = ProgramCaches()

    def is_busy(self, program_id: str) -> bool:
        """Check whether a program has a running call.

        :param program_id: program id.
        :returns: whether the next call of the program must wait.
        """
        program = self.programs.get(program_id)
        return program is not None and bool(program.running)

    def is_fork(self, begin: Begin) -> bool:
        """Check whether a call does not extend the recorded history.

        :param begin: call.
        :returns: whether it is a fork; ``False`` for an unknown program.
        """
        program = self.programs.get(begin.program_id)
        if program is None:
            return False
        return not is_continuation(program.digest, begin.history_digests)

    def affinity(self, begin: Begin) -> str:
        """Return the endpoint that holds the cache of a program.

        :param begin: call.
        :returns: endpoint name; empty for a new program or a fork.
        """
        program = self.programs.get(begin.program_id)
        if program is None or self.is_fork(begin):
            return ''
        return program.endpoints.get(begin.service_name, '')

    def has_capacity(self, program_id: str, now_s: float) -> bool:
        """Expire idle programs and check whether a call can be recorded.

        :param program_id: program of the call.
        :param now_s: current time in seconds.
        :returns: ``False`` if the table of programs or of attempts is full.
        """
        for _ in range(_SWEEP_COUNT):
            if not self._expire_oldest(now_s):
                break
        is_known = program_id in self.programs
        is_recordable = is_known or len(self.programs) < MAX_PROGRAM_COUNT
        return self.attempts.has_room(now_s) and is_recordable

    def begin_turn(
        self,
        begin: Begin,
        budget: Budget,
        timeout_s: float,
        now_s: float,
    ) -> Turn | None:
        """Reserve the budget of the next turn of a program.

        :param begin: new call, whose program has no running call.
        :param budget: budget of the root program.
        :param timeout_s: deadline of the call in seconds.
        :param now_s: current time in seconds.
        :returns: the turn, or ``None`` if the budget is exhausted; the caches
            of the program are released in that case.
        :raises InvariantError: if another turn of the program is running.
        """
        if self.is_busy(begin.program_id):
            raise InvariantError('the program already has a running turn')
        program = self.ensure_program(
            begin.program_id, begin.parent_program_id, now_s
        )
        account = self.accounts.get_or_create(program.root)
        reservation = budgets.reserve(
            account,
            budget,
            begin.prompt_tokens + begin.max_tokens,
            timeout_s,
        )
        if reservation is None:
            self.caches.release_all(program.program_id, program.endpoints)
            return None
        return Turn(
            program=program,
            number=program.turn + 1,
            reservation=reservation,
            attained_tokens=account.tokens,
        )

    def issue(
        self,
        turn: Turn,
        ticket: Ticket,
        begin: Begin,
        now_s: float,
    ) -> None:
        """Record the ticket of a new turn and mark its program as running.

        :param turn: result of :meth:`begin_turn`.
        :param ticket: ticket of the turn.
        :param begin: call that the ticket admits.
        :param now_s: current time in seconds.
        :raises InvariantError: if the ticket does not continue the turn order.
        """
        program = turn.program
        if ticket.turn != program.turn + 1:
            raise InvariantError('the turn does not follow the newest turn')
        attempt = Attempt(
            ticket=ticket,
            begin=replace(begin, history_digests=()),
            reservation=turn.reservation,
            issued_s=now_s,
        )
        self.attempts.add(attempt)
        program.turn = ticket.turn
        program.digest = ticket.history_digest or program.digest
        self._record_start(program, ticket, now_s)

    def retry_turn(
        self,
        attempt: Attempt,
        ticket: Ticket,
        budget: Budget,
        now_s: float,
    ) -> bool:
        """Reserve the budget again and record a new ticket of the same turn.

        :param attempt: finished attempt of the newest turn.
        :param ticket: new ticket.
        :param budget: budget of the root program.
        :param now_s: current time in seconds.
        :returns: ``False`` if the budget is exhausted.
        """
        program = self.programs[ticket.program_id]
        reservation = budgets.reserve(
            self.accounts.get_or_create(program.root),
            budget,
            attempt.reservation.tokens,
            ticket.timeout_ms / 1000,
        )
        if reservation is None:
            return False
        self.attempts.replace_ticket(attempt, ticket)
        attempt.reservation = reservation
        attempt.issued_s = now_s
        self._record_start(program, ticket, now_s)
        return True

    def is_newest(self, attempt: Attempt) -> bool:
        """Check whether a retry of an attempt would keep the turn order.

        :param attempt: finished attempt.
        :returns: whether no later turn of its program has begun.
        """
        program = self.programs.get(attempt.ticket.program_id)
        if program is None or program.running:
            return False
        return program.turn == attempt.ticket.turn

    def finish_turn(
        self,
        number: str,
        usage: Usage,
        outcome: str,
        now_s: float,
    ) -> bool:
        """Charge the usage of a ticket and mark its program as idle.

        :param number: ticket number.
        :param usage: tokens used.
        :param outcome: outcome name.
        :param now_s: current time in seconds.
        :returns: whether the ticket was running; ``False`` for a repeated
            report and for an unknown ticket.
        :raises InvariantError: if the program runs another ticket.
        """
        attempt = self.attempts.by_number.get(number)
        if attempt is None or attempt.ticket.number != number:
            return False
        if attempt.outcome != outcomes.RUNNING:
            # A late report may replace an unknown outcome. It is not charged,
            # since an unknown outcome was already charged in full.
            if (attempt.outcome, outcome) == _LATE_ANSWER:
                attempt.outcome = outcome
            return False
        if outcome == outcomes.RUNNING:
            return False
        program = self.programs[attempt.ticket.program_id]
        if program.running != number:
            raise InvariantError('the finished ticket is not the running one')
        program.running = ''
        self._record_activity(program, now_s)
        budgets.charge(
            self.accounts.get_or_create(program.root),
            attempt.reservation,
            outcome,
            usage,
            now_s - attempt.issued_s,
        )
        self.attempts.finish(attempt, outcome, now_s)
        if attempt.ticket.is_program_end:
            self.caches.release_all(program.program_id, program.endpoints)
        return True

    def ensure_program(
        self, program_id: str, parent_id: str, now_s: float
    ) -> Program:
        """Return a program, created if needed, and link it to its root.

        :param program_id: program id; the id of a sub-agent names its root.
        :param parent_id: parent program id; empty to use the root in the id.
        :param now_s: current time in seconds, recorded as the last activity.
        :returns: the program.
        """
        parent_id = parent_id or root_program_id(program_id)
        program = self.programs.get(program_id)
        if program is None:
            program = Program(program_id=program_id, root=program_id)
            self.programs[program_id] = program
            self.accounts.get_or_create(program_id).program_count += 1
        if parent_id:
            parent = self.programs.get(parent_id)
            self.accounts.link(
                program.root,
                parent.root if parent else parent_id,
            )
        if program.turn:
            pause_s = now_s - program.active_s
            program.longest_pause_s = max(program.longest_pause_s, pause_s)
        self._record_activity(program, now_s)
        return program

    def _record_start(
        self, program: Program, ticket: Ticket, now_s: float
    ) -> None:
        program.running = ticket.number
        self.caches.set_endpoint(
            program.program_id,
            program.endpoints,
            ticket.service_name,
            ticket.endpoint,
        )
        self._record_activity(program, now_s)

    def _record_activity(self, program: Program, now_s: float) -> None:
        program.active_s = now_s
        self.programs.move_to_end(program.program_id)

    def _expire_oldest(self, now_s: float) -> bool:
        if not self.programs:
            return False
        program = next(iter(self.programs.values()))
        is_full = len(self.programs) >= MAX_PROGRAM_COUNT
        limit_s = _EVICTABLE_IDLE_S if is_full else PROGRAM_IDLE_S
        if now_s - program.active_s < limit_s:
            return False
        if program.running:
            self._record_activity(program, now_s)
            return True
        self.programs.pop(program.program_id)
        self.caches.release_all(program.program_id, program.endpoints)
        self.accounts.remove_program(program.root)
        return True


_LATE_ANSWER = (outcomes.UNKNOWN, outcomes.ANSWERED)
