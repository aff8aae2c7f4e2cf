"""Backup copies of responses whose callers disconnected."""

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

#: Retention of a copy, equal to that of the record at the endpoint process.
RETENTION_S = 600.0
MAX_COPY_COUNT = 1000
MAX_COPY_BYTES = 16 * 1024 * 1024
#: Timeout of the request to each other entry.
FIND_TIMEOUT_S = 1.0

_log = part_logger(LogPart.RELAY)


@dataclass(slots=True, kw_only=True)
class ResponseCopies:
    """Copies kept by this ingress, and the search at the other entries.

    Owners do not track copies. An entry that needs one asks all entries of
    the view, which is necessary only after the endpoint process was lost. The
    copy is therefore found even after a change of owner.

    :param own_name: name of this entry process.
    :param blackboard: shared state of the process.
    :param pool: connections to endpoint processes and entries.
    :param clock: returns monotonic seconds.
    """

    own_name: str
    blackboard: Blackboard
    pool: PeerPool
    clock: Callable[[], float] = time.monotonic
    #: Time of storage and response by ticket number, oldest first.
    _copies: OrderedDict[str, tuple[float, Settled]] = field(
        init=False,
        default_factory=OrderedDict,
    )
    _total_bytes: int = field(init=False, default=0)

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of messages from other entries.

        :returns: handler of ``Settle``.
        """
        return {Settle: self._handle_settle}

    async def keep(self, location: Outcome, deadline_s: float) -> None:
        """Wait for the end of a run and store a copy of its response.

        Errors are logged; no copy is stored then.

        :param location: where the record is.
        :param deadline_s: deadline on the clock of ``time.monotonic()``.
        """
        try:
            settled = await self._fetch_record(location, deadline_s)
        except (PeerError, InvariantError) as error:
            _log.info(
                'no copy of response %s stored: %s', location.number, error
            )
            return
        if settled.outcome == outcomes.ANSWERED:
            self.add(settled)

    def add(self, settled: Settled) -> None:
        """Store a response and evict the oldest ones above the limits.

        :param settled: recorded response; it replaces one of the same number.
        """
        self._drop(settled.number)
        self._copies[settled.number] = (self.clock(), settled)
        self._total_bytes += len(settled.body)
        self._expire()

    async def fetch(self, location: Outcome, deadline_s: float) -> Settled:
        """Fetch a record, or its copy if the endpoint process was lost.

        :param location: where the record is.
        :param deadline_s: deadline on the clock of ``time.monotonic()``.
        :returns: the record; its outcome is ``unknown`` if none exists.
        :raises PeerError: if the endpoint process does not answer before the
            deadline and no entry has a copy.
        """
        if location.outcome == outcomes.UNKNOWN:
            settled = Settled(number=location.number, outcome=outcomes.UNKNOWN)
            return await self._find_copy(location.number) or settled
        try:
            settled = await self._fetch_record(location, deadline_s)
        except PeerError:
            found = await self._find_copy(location.number)
            if found is None:
                raise
            return found
        if settled.outcome == outcomes.UNKNOWN:
            return await self._find_copy(location.number) or settled
        return settled

    async def _fetch_record(
        self,
        location: Outcome,
        deadline_s: float,
    ) -> Settled:
        epoch = self.blackboard.view.epoch
        return await fetch_settled(self.pool, location, epoch, deadline_s)

    async def _find_copy(self, number: str) -> Settled | None:
        """Search for a copy locally, then at all other entries in parallel."""
        own = self._get(number)
        if own is not None:
            return own
        view = self.blackboard.view
        settle = Settle(number=number, epoch=view.epoch)
        answers = await asyncio.gather(
            *(
                self._request_copy(member, settle)
                for member in entries_of(view)
                if member.name != self.own_name
            ),
        )
        return next((found for found in answers if found is not None), None)

    async def _request_copy(
        self, member: Member, settle: Settle
    ) -> Settled | None:
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

    async def _handle_settle(self, settle: Settle, send: Send) -> None:
        number = settle.number
        unknown = Settled(number=number, outcome=outcomes.UNKNOWN)
        await send(self._get(number) or unknown)

    def _get(self, number: str) -> Settled | None:
        self._expire()
        found = self._copies.get(number)
        return found[1] if found else None

    def _expire(self) -> None:
        oldest_s = self.clock() - RETENTION_S
        while self._copies and (
            len(self._copies) > MAX_COPY_COUNT
            or self._total_bytes > MAX_COPY_BYTES
            or next(iter(self._copies.values()))[0] <= oldest_s
        ):
            self._drop(next(iter(self._copies)))

    def _drop(self, number: str) -> None:
        _, settled = self._copies.pop(number, (0, Settled()))
        self._total_bytes -= len(settled.body)
