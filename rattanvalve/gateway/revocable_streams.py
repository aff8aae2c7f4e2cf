"""Ends open streams soon after their API key is withdrawn."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from rattanvalve.gateway.calls import Call
from rattanvalve.sharedstate.rules import TrafficRules

__all__ = ('RevocableStreams',)

#: Share of the revocation time for which the open streams of a withdrawn key
#: may continue, so that they can complete.
GRACE_SHARE = 0.5


class RevocableStreams:
    """Open streams and their timeouts.

    :param revocation_s: seconds after which a withdrawn key must have no
        effect.
    :param rules_s: seconds within which new rules are known here.
    """

    def __init__(self, revocation_s: float, rules_s: float) -> None:
        remaining_s = max(revocation_s - rules_s, 0)
        self._grace_s = min(revocation_s * GRACE_SHARE, remaining_s)
        self._streams: dict[asyncio.Timeout, Call] = {}

    @contextmanager
    def track(self, call: Call, timeout: asyncio.Timeout) -> Iterator[None]:
        """Track a stream for the duration of the block.

        :param call: the request; one without a stream is not tracked and
            ends at its own deadline.
        :param timeout: timeout of the request, which :meth:`apply_rules` may
            shorten.
        """
        if call.route.is_stream:
            self._streams[timeout] = call
        try:
            yield
        finally:
            self._streams.pop(timeout, None)

    def apply_rules(self, rules: TrafficRules, now_s: float) -> None:
        """Shorten the timeouts of streams whose key was withdrawn.

        :param rules: newest rules.
        :param now_s: current time of the event loop in seconds.
        """
        latest_end_s = now_s + self._grace_s
        for timeout, call in self._streams.items():
            deadline_s = timeout.when()
            is_kept = rules.allows(call.key, call.workspace)
            if (
                not is_kept
                and deadline_s is not None
                and deadline_s > latest_end_s
            ):
                timeout.reschedule(latest_end_s)
