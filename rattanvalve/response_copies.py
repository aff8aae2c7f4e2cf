"""Second copies of responses whose caller's connection broke."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from rattanvalve import outcomes
from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address, Handler, Send
from rattanvalve.errors import InvariantError, PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Member, Outcome, Settle, Settled
from rattanvalve.peers import PeerPool
from rattanvalve.response_fetch import fetch_settled
from rattanvalve.views import entries_of

__all__ = ('ResponseCopies',)

#: The same time as for the record at the endpoint process.
KEPT_S = 600.0
MAX_COPY_COUNT = 1000
MAX_COPY_BYTES = 16 * 1024 * 1024
#: Entries that do not answer within this time are not waited for.
FIND_TIMEOUT_S = 1.0

_log = part_logger(LogPart.RELAY)


@dataclass(slots=True, kw_only=True)
class ResponseCopies:
    """Copies at this ingress, and the search for those at the other entries.

    No owner holds the place of a copy. Any entry asks all entries of the
    view, which happens only after the endpoint process was lost. This still
    finds the copy when the owner has changed.

    :param own_name: name of this entry process.
    :param blackboard: state of the process.
    :param pool: connections to endpoint processes and entries.
    :param clock: monotonic seconds.
    """

    own_name: str
    blackboard: Blackboard
    pool: PeerPool
    clock: Callable[[], float] = time.monotonic
    #: Moment of keeping and response, by ticket number, oldest first.
    _copies: OrderedDict[str, tuple[float, Settled]] = field(
        init=False,
        default_factory=OrderedDict,
    )
    _kept_bytes: int = field(init=False, default=0)

    def handlers(self) -> dict[type, Handler]:
        """List the handlers of messages from other entries.

        :returns: handler of ``Settle``.
        """
        return {Settle: self._answer_settle}

    async def keep(self, place: Outcome, deadline_s: float) -> None:
        """Wait for the end of a run and keep its response.

        :param place: where the record is.
        :param deadline_s: time of ``time.monotonic()`` to give up at.
        """
        try:
            settled = await self._fetch_record(place, deadline_s)
        except (PeerError, InvariantError) as error:
            _log.info('no copy of %s: %s', place.number, error)
            return
        if settled.outcome == outcomes.ANSWERED:
            self.add(settled)

    def add(self, settled: Settled) -> None:
        """Keep a response; the oldest ones make room.

        :param settled: recorded response.
        """
        self._drop(settled.number)
        self._copies[settled.number] = (self.clock(), settled)
        self._kept_bytes += len(settled.body)
        self._expire()

    async def fetch(self, place: Outcome, deadline_s: float) -> Settled:
        """Fetch a record, or its copy if the endpoint process was lost.

        :param place: where the record is.
        :param deadline_s: time of ``time.monotonic()`` to give up at.
        :returns: the record; its outcome is unknown if there is none.
        :raises PeerError: if no process answers, or not before the deadline.
        """
        if place.outcome == outcomes.UNKNOWN:
            settled = Settled(number=place.number, outcome=outcomes.UNKNOWN)
            return await self._find(place.number) or settled
        try:
            settled = await self._fetch_record(place, deadline_s)
        except PeerError:
            found = await self._find(place.number)
            if found is None:
                raise
            return found
        if settled.outcome == outcomes.UNKNOWN:
            return await self._find(place.number) or settled
        return settled

    async def _fetch_record(
        self,
        place: Outcome,
        deadline_s: float,
    ) -> Settled:
        epoch = self.blackboard.view.epoch
        return await fetch_settled(self.pool, place, epoch, deadline_s)

    async def _find(self, number: str) -> Settled | None:
        """Look for a copy here, then at all other entries at once."""
        own = self._get(number)
        if own is not None:
            return own
        view = self.blackboard.view
        settle = Settle(number=number, epoch=view.epoch)
        answers = await asyncio.gather(
            *(
                self._ask(member, settle)
                for member in entries_of(view)
                if member.name != self.own_name
            ),
        )
        return next((found for found in answers if found is not None), None)

    async def _ask(self, member: Member, settle: Settle) -> Settled | None:
        address = Address(member.host, member.port)
        try:
            answer = await self.pool.call(address, settle, FIND_TIMEOUT_S)
        except PeerError:
            return None
        is_copy = (
            isinstance(answer, Settled)
            and answer.number == settle.number
            and answer.outcome == outcomes.ANSWERED
        )
        return answer if is_copy else None

    async def _answer_settle(self, settle: Settle, send: Send) -> None:
        number = settle.number
        unknown = Settled(number=number, outcome=outcomes.UNKNOWN)
        await send(self._get(number) or unknown)

    def _get(self, number: str) -> Settled | None:
        self._expire()
        found = self._copies.get(number)
        return found[1] if found else None

    def _expire(self) -> None:
        oldest_s = self.clock() - KEPT_S
        while self._copies and (
            len(self._copies) > MAX_COPY_COUNT
            or self._kept_bytes > MAX_COPY_BYTES
            or next(iter(self._copies.values()))[0] <= oldest_s
        ):
            self._drop(next(iter(self._copies)))

    def _drop(self, number: str) -> None:
        _, settled = self._copies.pop(number, (0, Settled()))
        self._kept_bytes -= len(settled.body)
