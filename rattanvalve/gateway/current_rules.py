"""Tells whether the rules of this process are known to be in force.

Rules whose last confirmation is older than their bound may lack a change that
operators already rely on. A request that such rules do not allow has not run
and may come again; a refusal for good might be false.
"""

import asyncio
import time

from rattanvalve.gateway.calls import Refusal
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.documents import DocumentKind
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.staleness import StalenessBudget

__all__ = ('CurrentRules',)

#: Interval at which a delayed request checks again.
CHECK_INTERVAL_S = 0.02
UNCONFIRMED_RETRY_AFTER_S = 0.5


class CurrentRules:
    """Confirmation of the rules, at the time of a request.

    :param state: documents of this process and their bounds.
    """

    def __init__(self, state: SharedState) -> None:
        self._state = state

    def are_confirmed(self, received_s: float) -> bool:
        """Return whether the rules have each change that must be in force.

        :param received_s: monotonic time in seconds of the request's arrival.
        :returns: whether the store confirmed them within the bound.
        """
        confirmed_s = self._state.board.confirmed_s(DocumentKind.RULES)
        return confirmed_s >= received_s - self._budget().bound_s

    def must_wait(self, received_s: float, now_s: float) -> bool:
        """Return whether a request waits for a confirmation.

        While the store is away nothing is acknowledged, so the rules hold.

        :param received_s: monotonic time in seconds of the request's arrival.
        :param now_s: monotonic time in seconds.
        :returns: whether a call that is under way may soon confirm the rules.
        """
        if self.are_confirmed(received_s):
            return False
        age_s = self._state.board.confirmation_age_s(DocumentKind.RULES, now_s)
        was_confirmed = age_s < float('inf')
        is_failing = self._state.board.is_store_failing(DocumentKind.RULES)
        is_over = now_s >= received_s + self._budget().call_timeout_s
        return was_confirmed and not (is_failing or is_over)

    async def wait(self, received_s: float) -> None:
        """Wait until the rules are confirmed or cannot be for now.

        :param received_s: monotonic time in seconds of the request's arrival.
        """
        while True:
            if not self.must_wait(received_s, time.monotonic()):
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def refuse(self, code: ResultCode, received_s: float) -> Refusal:
        """Build the refusal of a request that the rules do not allow.

        :param code: reason for a refusal for good.
        :param received_s: monotonic time in seconds of the request's arrival.
        :returns: that refusal if the rules are confirmed, else one that lets
            the request come again.
        """
        if self.are_confirmed(received_s):
            return Refusal(code)
        return Refusal(ResultCode.RULES_UNCONFIRMED, UNCONFIRMED_RETRY_AFTER_S)

    def _budget(self) -> StalenessBudget:
        return self._state.node.staleness.budget(DocumentKind.RULES)
