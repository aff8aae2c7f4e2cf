"""Transfers of unused tokens of rate limits from standbys to the primary.

A standby removes tokens from its bucket before it sends them and never sends
them again, so that a lost message loses tokens, and the sum of all buckets
never grows. Tokens that the primary cannot hold come back in its answer.
"""

import asyncio
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.turn_messages import (
    RatesAccepted,
    RateTransfer,
    TransferRates,
)
from rattanvalve.turnstore.rateshares import LentShare, RateShares

__all__ = ('RateTransfers', 'TransferTask')

TRANSFER_INTERVAL_S = 0.2
TRANSFER_TIMEOUT_S = 0.5
#: Fewer tokens than this stay at the standby until there are more.
TOKENS_MIN = 0.2
#: Largest number of workspaces in a message, which then has about 30 kB.
WORKSPACES_MAX = 500
#: A standby whose tokens came back, as the bucket of the primary is full, waits
#: before it offers tokens of that workspace again, longer each time.
FULL_PAUSE_MIN_S = 0.4
FULL_PAUSE_MAX_S = 1.6
#: A primary that did not answer is asked by empty messages at this interval,
#: and gets tokens again once it has answered one.
PROBE_INTERVAL_S = 1.0

_log = part_logger(LogPart.TURNS)


@dataclass(slots=True)
class _Pause:
    until_s: float = 0
    duration_s: float = FULL_PAUSE_MIN_S


@dataclass(slots=True)
class _Target:
    """State of one primary; ``is_called`` while a message is under way."""

    is_called: bool = False
    has_answered: bool = False
    next_probe_s: float = 0


class RateTransfers:
    """Decides which tokens of a store go to which primary.

    At most one message to a primary is under way, and only a primary that
    answered the last one gets tokens: those of at most one message can be lost
    with it, or arrive late after it stood still.

    :param shares: this store's shares of the workspaces' rates.
    """

    def __init__(self, shares: RateShares) -> None:
        self._shares = shares
        self._targets: dict[StoreMember, _Target] = {}
        self._pauses: dict[str, _Pause] = {}

    def withdraw(self, now_s: float) -> dict[StoreMember, TransferRates]:
        """Remove unused tokens from the buckets of this store.

        :param now_s: monotonic time in seconds.
        :returns: messages to send, by primary; an empty one asks whether the
            primary answers.
        """
        offers = defaultdict(list)
        lent_shares = self._shares.lent_shares()
        self._forget_removed(lent_shares)
        for lent in lent_shares:
            if self._is_offered(lent, now_s):
                offers[lent.primary].append(lent)
        return {
            primary: self._message(self._targets[primary], offered, now_s)
            for primary, offered in offers.items()
        }

    def record_answer(
        self,
        primary: StoreMember,
        sent: TransferRates,
        returned: Collection[RateTransfer],
        now_s: float,
    ) -> None:
        """Put tokens that the primary could not hold back into the buckets.

        :param primary: primary that answered.
        :param sent: message that it got.
        :param returned: tokens that it returned.
        :param now_s: monotonic time in seconds.
        """
        target = self._targets.setdefault(primary, _Target())
        target.is_called = False
        target.has_answered = True
        sent_tokens = {item.workspace: item.tokens for item in sent.transfers}
        for item in returned:
            tokens = min(item.tokens, sent_tokens.pop(item.workspace, 0))
            if tokens > 0:
                self._shares.deposit(item.workspace, tokens, now_s)
                self._pause(item.workspace, now_s)
        for workspace in sent_tokens:
            self._pauses.pop(workspace, None)

    def record_failure(self, primary: StoreMember, now_s: float) -> bool:
        """Stop sending tokens to a primary that did not answer.

        :param primary: the primary.
        :param now_s: monotonic time in seconds.
        :returns: whether it had answered before.
        """
        target = self._targets.setdefault(primary, _Target())
        had_answered = target.has_answered
        target.is_called = False
        target.has_answered = False
        target.next_probe_s = now_s + PROBE_INTERVAL_S
        return had_answered

    def _is_offered(self, lent: LentShare, now_s: float) -> bool:
        target = self._targets.setdefault(lent.primary, _Target())
        if target.is_called or now_s < target.next_probe_s:
            return False
        lent.bucket.refill(now_s)
        pause = self._pauses.get(lent.workspace)
        is_paused = pause is not None and now_s < pause.until_s
        return lent.bucket.level >= TOKENS_MIN and not is_paused

    def _message(
        self, target: _Target, lent_shares: list[LentShare], now_s: float
    ) -> TransferRates:
        target.is_called = True
        if not target.has_answered:
            return TransferRates()
        lent_shares.sort(
            key=lambda lent: lent.bucket.level / lent.bucket.burst,
            reverse=True,
        )
        return TransferRates(
            transfers=tuple(
                RateTransfer(
                    workspace=lent.workspace, tokens=lent.bucket.withdraw(now_s)
                )
                for lent in lent_shares[:WORKSPACES_MAX]
            )
        )

    def _pause(self, workspace: str, now_s: float) -> None:
        pause = self._pauses.setdefault(workspace, _Pause())
        pause.until_s = now_s + pause.duration_s
        pause.duration_s = min(2 * pause.duration_s, FULL_PAUSE_MAX_S)

    def _forget_removed(self, lent_shares: Collection[LentShare]) -> None:
        """Drop the state of primaries and workspaces that are gone."""
        primaries = {lent.primary for lent in lent_shares}
        for primary in self._targets.keys() - primaries:
            self._targets.pop(primary)
        names = {lent.workspace for lent in lent_shares}
        for name in self._pauses.keys() - names:
            self._pauses.pop(name)


class TransferTask:
    """Sends unused tokens to the primaries several times per second.

    :param shares: this store's shares of the workspaces' rates.
    :param call: sends a message to an address, with a timeout in seconds, and
        returns the answer.
    :param metrics: counts transfers and failures.
    """

    def __init__(
        self,
        shares: RateShares,
        call: Callable[
            [Address, TransferRates, float],
            Awaitable[Any],
        ],
        metrics: Metrics,
    ) -> None:
        self._shares = shares
        self._transfers = RateTransfers(shares)
        self._call = call
        self._metrics = metrics

    async def run(self) -> None:
        """Send tokens until cancelled."""
        # A run that failed may have left calls that count as under way.
        self._transfers = RateTransfers(self._shares)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(TRANSFER_INTERVAL_S)
                messages = self._transfers.withdraw(time.monotonic())
                for primary, message in messages.items():
                    group.create_task(self._send(primary, message))

    async def _send(self, primary: StoreMember, message: TransferRates) -> None:
        try:
            answer = await self._call(
                primary.address, message, TRANSFER_TIMEOUT_S
            )
        except PeerError:
            answer = None
        if not isinstance(answer, (RatesAccepted, TransferRates)):
            self._record_failure(primary, message)
            return
        returned = ()
        if isinstance(answer, TransferRates):
            returned = answer.transfers
        self._metrics.count(Counter.RATE_TRANSFERS, len(message.transfers))
        self._transfers.record_answer(
            primary, message, returned, time.monotonic()
        )

    def _record_failure(
        self, primary: StoreMember, message: TransferRates
    ) -> None:
        self._metrics.count(Counter.RATE_TRANSFER_FAILED)
        if self._transfers.record_failure(primary, time.monotonic()):
            tokens = sum(item.tokens for item in message.transfers)
            _log.warning(
                'no answer to a transfer of rate tokens',
                extra={'host': primary.address.host, 'tokens': round(tokens)},
            )
