"""Streams of callers, which end soon after their key is withdrawn."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from rattanvalve.gateway.calls import Call
from rattanvalve.sharedstate.rules import TrafficRules

__all__ = ('KeyedStreams',)

#: Part of the time for withdrawn keys in which open streams may end whole.
FINISH_SHARE = 0.5


class KeyedStreams:
    """Open streams with the limits of their time.

    :param revocation_s: time after which a withdrawn key has no effect.
    """

    def __init__(self, revocation_s: float) -> None:
        self._finish_s = revocation_s * FINISH_SHARE
        self._open: dict[asyncio.Timeout, Call] = {}

    @contextmanager
    def guard(self, call: Call, limit: asyncio.Timeout) -> Iterator[None]:
        """Watch the key of a stream while it is open.

        :param call: a request; one without a stream has its time.
        :param limit: limit of its time, which is brought forward.
        """
        if call.route.is_stream:
            self._open[limit] = call
        try:
            yield
        finally:
            self._open.pop(limit, None)

    def apply(self, rules: TrafficRules, now_s: float) -> None:
        """Bring the end of the streams forward whose key is gone.

        :param rules: newest rules.
        :param now_s: present time of the event loop in seconds.
        """
        until_s = now_s + self._finish_s
        for limit, call in self._open.items():
            due_s = limit.when()
            is_kept = rules.allows(call.key, call.workspace)
            if not is_kept and due_s is not None and due_s > until_s:
                limit.reschedule(until_s)
