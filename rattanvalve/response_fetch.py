"""Fetches the recorded response of a run from its endpoint process."""

import time

from rattanvalve import outcomes
from rattanvalve.channels import Address
from rattanvalve.errors import InvariantError, PeerError
from rattanvalve.messages import Outcome, Settle, Settled
from rattanvalve.peers import PeerPool

__all__ = ('fetch_settled',)

#: Longest wait per message; it bounds the time to detect a lost VM.
_WAIT_MS = 10_000
_REPLY_GRACE_S = 3.0


async def fetch_settled(
    pool: PeerPool,
    outcome: Outcome,
    epoch: int,
    deadline_s: float,
) -> Settled:
    """Wait for the end of a run and fetch its record.

    :param pool: connections to endpoint processes.
    :param outcome: location of the record.
    :param epoch: epoch of the view of this process.
    :param deadline_s: deadline on the clock of ``time.monotonic()``.
    :returns: the record; its outcome is never ``running``.
    :raises PeerError: if the endpoint process cannot be reached, refuses, or
        does not answer before the deadline.
    :raises InvariantError: if the answer is for another ticket.
    """
    while True:
        remaining_ms = int((deadline_s - time.monotonic()) * 1000)
        if remaining_ms <= 0:
            raise PeerError('the run did not end in time')
        message = Settle(
            number=outcome.number,
            epoch=epoch,
            wait_ms=min(_WAIT_MS, remaining_ms),
            endpoint_incarnation=outcome.endpoint_incarnation,
        )
        settled = await _settle_once(pool, outcome, message)
        if settled.outcome != outcomes.RUNNING:
            return settled


async def _settle_once(
    pool: PeerPool,
    outcome: Outcome,
    message: Settle,
) -> Settled:
    settled = await pool.call(
        Address(outcome.host, outcome.port),
        message,
        message.wait_ms / 1000 + _REPLY_GRACE_S,
    )
    if not isinstance(settled, Settled):
        raise PeerError('the endpoint process refused to settle')
    if settled.number != outcome.number:
        raise InvariantError(
            f'got the record of {settled.number}, not {outcome.number}',
        )
    return settled
