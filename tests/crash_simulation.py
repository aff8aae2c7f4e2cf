"""Simulation of gateways whose requests crash endpoints; no sockets."""

import heapq
import itertools
import random

from rattanvalve.gateway.suspects import place_suspect
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import RequestCrash

__all__ = ('CrashSimulation', 'crash')

DOWN_S = 3.0
RUN_S = (0.1, 0.8)
#: Time from the start of a culprit to the crash.
CRASH_RUN_S = (0.05, 0.3)
PAUSE_S = (0.2, 1.5)
RETRY_S = (0.05, 0.4)
EXCHANGE_S = 0.25
TRANSIT_S = 0.02
CONTACT_S = 3.0


def crash(fingerprint, endpoint, age_s=0.0, run_s=0.2, is_cleared=False):
    """Build the record of one crash."""
    return RequestCrash(
        fingerprint=fingerprint,
        endpoint=endpoint,
        run_ms=int(run_s * 1000),
        crash_age_ms=int(age_s * 1000),
        is_cleared=is_cleared,
    )


class _Request:
    """One attempt that runs at an endpoint."""

    def __init__(self, source, gateway, sent_s):
        self.source = source
        self.gateway = gateway
        self.sent_s = sent_s
        self.is_over = False


class CrashSimulation:
    """Discrete events: sends, ends, crashes, restarts and exchanges.

    Sources below 0 are culprits. A program repeats the same request until it
    is served, then sends another one.
    """

    def __init__(self, gateways, endpoints, culprits, crash_interval_s, seed):
        self.wrongly_blocked = 0
        self.culprit_crashes_s = {-1 - index: [] for index in range(culprits)}
        self._rng = random.Random(seed)
        self._tables = [CrashTable() for _ in range(gateways)]
        self._store = CrashTable()
        self._running = {f'e{index}': [] for index in range(endpoints)}
        self._down_until_s = dict.fromkeys(self._running, 0.0)
        self._starts = dict.fromkeys(self._running, 0)
        self._rounds = dict.fromkeys(range(1000), 0)
        self._crash_interval_s = crash_interval_s
        self._events = []
        self._order = itertools.count()

    def run(self, programs, duration_s):
        """Run all programs and culprits for a time in seconds."""
        for source in (*range(programs), *self.culprit_crashes_s):
            self._at(self._rng.uniform(0, 1), self._send, source)
        for index in range(len(self._tables)):
            self._at(self._rng.uniform(0, EXCHANGE_S), self._exchange, index)
        if self._crash_interval_s:
            self._at(self._crash_interval_s, self._crash_any)
        while self._events and self._events[0][0] < duration_s:
            now_s, _, function, args = heapq.heappop(self._events)
            function(now_s, *args)

    def late_count(self):
        """Count the late crashes of the culprit with most of them."""
        return max(
            (
                sum(
                    moment_s > sorted(crashes_s)[2] + CONTACT_S
                    for moment_s in crashes_s
                )
                for crashes_s in self.culprit_crashes_s.values()
                if len(crashes_s) > 2
            ),
            default=0,
        )

    def _at(self, moment_s, function, *args):
        event = (moment_s, next(self._order), function, args)
        heapq.heappush(self._events, event)

    def _fingerprint(self, source):
        if source < 0:
            return f'culprit{source}'
        return f'p{source}-{self._rounds[source]}'

    def _send(self, now_s, source):
        gateway = self._rng.randrange(len(self._tables))
        table = self._tables[gateway]
        fingerprint = self._fingerprint(source)
        if not table.is_settled(fingerprint, now_s):
            self._at(now_s + 0.05, self._send, source)
            return
        block = table.block(fingerprint, now_s)
        if block is not None and not block.is_certain:
            self._at(block.until_s, self._send, source)
            return
        if block is not None:
            self.wrongly_blocked += source >= 0
            self._at(now_s + self._rng.uniform(*PAUSE_S), self._send, source)
            return
        endpoint = self._place(table, fingerprint, now_s)
        if endpoint is None:
            self._at(now_s + self._rng.uniform(*RETRY_S), self._send, source)
            return
        request = _Request(source, gateway, now_s)
        self._running[endpoint].append(request)
        if source < 0:
            end_s = now_s + self._rng.uniform(*CRASH_RUN_S)
            self._at(end_s, self._crash_by, endpoint, request)
            self._at(now_s + self._rng.uniform(*PAUSE_S), self._send, source)
        else:
            end_s = now_s + self._rng.uniform(*RUN_S)
            self._at(end_s, self._end, endpoint, request)

    def _place(self, table, fingerprint, now_s):
        up = [
            endpoint
            for endpoint, until_s in self._down_until_s.items()
            if until_s <= now_s
        ]
        if not up:
            return None
        if not table.is_suspect(fingerprint):
            return self._rng.choice(up)
        return place_suspect(table, fingerprint, up)

    def _end(self, now_s, endpoint, request):
        if request.is_over:
            return
        self._running[endpoint].remove(request)
        table = self._tables[request.gateway]
        fingerprint = self._fingerprint(request.source)
        self._store.merge(table.clear(fingerprint, now_s), now_s)
        self._rounds[request.source] += 1
        self._at(
            now_s + self._rng.uniform(*PAUSE_S), self._send, request.source
        )

    def _crash_by(self, now_s, endpoint, request):
        if not request.is_over:
            self.culprit_crashes_s[request.source].append(now_s)
            self._crash(now_s, endpoint)

    def _crash_any(self, now_s):
        up = [
            endpoint
            for endpoint, until_s in self._down_until_s.items()
            if until_s <= now_s
        ]
        if up:
            self._crash(now_s, self._rng.choice(up))
        self._at(now_s + self._crash_interval_s, self._crash_any)

    def _crash(self, now_s, endpoint):
        key = f'{endpoint}/{self._starts[endpoint]}'
        self._starts[endpoint] += 1
        self._down_until_s[endpoint] = now_s + DOWN_S
        for request in self._running[endpoint]:
            request.is_over = True
            report = crash(
                self._fingerprint(request.source),
                key,
                run_s=now_s - request.sent_s,
            )
            self._tables[request.gateway].merge((report,), now_s)
            self._at(now_s + TRANSIT_S, self._tell, report)
            if request.source >= 0:
                self._at(
                    now_s + self._rng.uniform(*RETRY_S),
                    self._send,
                    request.source,
                )
        self._running[endpoint] = []

    def _tell(self, now_s, report):
        self._store.merge((report,), now_s)

    def _exchange(self, now_s, index):
        table = self._tables[index]
        if table.digest != self._store.digest:
            self._store.merge(table.reports(now_s), now_s)
            table.merge(self._store.reports(now_s), now_s)
        self._at(now_s + EXCHANGE_S, self._exchange, index)
