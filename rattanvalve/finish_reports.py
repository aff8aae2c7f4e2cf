"""Reports of outcome and usage that an endpoint process sends to owners."""

import asyncio
import random
import time
from itertools import chain, repeat

from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Ack, Finish, Member, Ticket, Usage
from rattanvalve.peers import PeerPool
from rattanvalve.records import RETENTION_S, OwnerOf
from rattanvalve.workset import WorkSet

__all__ = ('FinishReports',)

#: Timeout of one attempt, in seconds.
CALL_TIMEOUT_S = 2
#: Backoff before each retry, in seconds; the last value is repeated. It starts
#: short, since the next call of the program waits until the report arrives.
RETRY_PAUSES_S = (0.1, 0.3, 1.0, 3.0)

_log = part_logger(LogPart.ENDPOINT)


class FinishReports:
    """Sends each ``Finish`` until it is acknowledged or its record expires.

    :param pool: connections to peers.
    :param board: shared state of the process, with the current view.
    :param owner_of: function of :mod:`rattanvalve.views` that returns the
        owner of a shard.
    """

    def __init__(
        self,
        pool: PeerPool,
        board: Blackboard,
        owner_of: OwnerOf,
    ) -> None:
        self._pool = pool
        self._board = board
        self._owner_of = owner_of
        #: Reports that are in flight.
        self.tasks = WorkSet()

    def send(self, ticket: Ticket, outcome: str, usage: Usage) -> None:
        """Report the end of a run in the background.

        :param ticket: ticket of the run.
        :param outcome: outcome name.
        :param usage: tokens that the run used.
        """
        task = asyncio.ensure_future(self._deliver(ticket, outcome, usage))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver(
        self,
        ticket: Ticket,
        outcome: str,
        usage: Usage,
    ) -> None:
        pauses_s = chain(RETRY_PAUSES_S, repeat(RETRY_PAUSES_S[-1]))
        deadline_s = time.monotonic() + RETENTION_S
        is_owner_rejected = False
        while True:
            finish = self._build_finish(ticket, outcome, usage)
            owner = self._find_owner(ticket, is_owner_rejected)
            answer = await self._send_once(owner, finish)
            if isinstance(answer, Ack):
                return
            is_owner_rejected = answer is not None
            if time.monotonic() >= deadline_s:
                _log.warning('report of %s not acknowledged', ticket.number)
                return
            # Jitter spreads the retries of many runs that ended together.
            await asyncio.sleep(next(pauses_s) * random.uniform(0.5, 1.5))

    def _build_finish(
        self, ticket: Ticket, outcome: str, usage: Usage
    ) -> Finish:
        return Finish(
            number=ticket.number,
            workspace=ticket.workspace,
            shard=ticket.shard,
            program_id=ticket.program_id,
            outcome=outcome,
            usage=usage,
            epoch=max(self._board.view.epoch, ticket.epoch),
        )

    def _find_owner(self, ticket: Ticket, is_rejected: bool) -> Member | None:
        """Return the owner named in the ticket, or the owner in the view."""
        view = self._board.view
        members = {member.name: member for member in view.members}
        # A view newer than the ticket may have arrived with a seal. Its owner
        # then waits for the report, while the former owner may not have that
        # view yet.
        is_newest = ticket.epoch >= view.epoch
        if is_newest and ticket.owner in members and not is_rejected:
            return members[ticket.owner]
        name = self._owner_of(view, ticket.workspace, ticket.shard)
        return members.get(name)

    async def _send_once(self, owner: Member | None, finish: Finish):
        if owner is None:
            return None
        address = Address(owner.host, owner.port)
        try:
            return await self._pool.call(address, finish, CALL_TIMEOUT_S)
        except PeerError as error:
            _log.info('report of %s failed: %s', finish.number, error)
        return None
