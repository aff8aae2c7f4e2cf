"""Requests that crash servers, as this gateway knows them."""

import asyncio
import time
from collections.abc import Iterable, Sequence

from rattanvalve.counters import Counter, Metrics
from rattanvalve.gateway.calls import Call, Refusal
from rattanvalve.gateway.crash_watch import InterruptedRun
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import RequestCrash

__all__ = ('RequestCrashes',)

#: Number of characters of a path that records keep for operators.
PATH_LENGTH_MAX = 120
#: Interval at which a request checks whether it is certain who is to blame.
SETTLE_CHECK_INTERVAL_S = 0.02

_log = part_logger(LogPart.GATEWAY)


class RequestCrashes:
    """Records of this gateway and of all others.

    Requests are hashed only while there are records.

    :param metrics: counters.
    :param news: set when turn stores have to be told of a change.
    """

    def __init__(self, metrics: Metrics, news: asyncio.Event) -> None:
        self.table = CrashTable()
        self._metrics = metrics
        self._news = news
        self._changed: list[RequestCrash] = []
        self._blocked: frozenset[str] = frozenset()

    def record_crash(
        self, endpoint: EndpointEntry, runs: Sequence[InterruptedRun]
    ) -> None:
        """Record that an endpoint crashed.

        :param endpoint: the endpoint.
        :param runs: requests that it ran.
        """
        now_s = time.monotonic()
        self._add_news(
            self.table.merge(
                [_build_report(endpoint, run, now_s) for run in runs], now_s
            )
        )

    def record_served(self, call: Call) -> None:
        """Record that an endpoint served a request as a whole.

        :param call: the request.
        """
        if self.is_suspect(call):
            self._add_news(self.table.clear(call.fingerprint, time.monotonic()))

    async def decide(self, call: Call) -> Refusal | None:
        """Decide whether a request may be sent, once this is certain.

        A request that may be to blame waits until the records of other
        gateways have arrived.

        :param call: the request.
        :returns: the refusal; ``None`` if the request may be sent.
        """
        if self.table.is_empty():
            return None
        while True:
            if self.table.is_settled(call.fingerprint, time.monotonic()):
                return self.refuse(call)
            await asyncio.sleep(SETTLE_CHECK_INTERVAL_S)

    def refuse(self, call: Call) -> Refusal | None:
        """Refuse a request that is to blame for crashes.

        :param call: the request.
        :returns: the refusal; ``None`` if the request may be sent.
        """
        if self.table.is_empty():
            return None
        now_s = time.monotonic()
        block = self.table.block(call.fingerprint, now_s)
        if block is None:
            return None
        if block.is_certain:
            return Refusal(ResultCode.REQUEST_CRASHES_SERVERS)
        return Refusal(ResultCode.REQUEST_SUSPECTED, block.until_s - now_s)

    def is_suspect(self, call: Call) -> bool:
        """Return whether a request may have crashed an endpoint.

        :param call: the request.
        :returns: whether it ran at one that crashed and was not served since.
        """
        if self.table.is_empty():
            return False
        return self.table.is_suspect(call.fingerprint)

    def take_news(self) -> tuple[RequestCrash, ...]:
        """Return what this gateway has seen since the last call.

        :returns: new records, and records that are cleared now.
        """
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def merge(self, reports: Iterable[RequestCrash], now_s: float) -> None:
        """Adopt what other processes know.

        :param reports: records with their ages.
        :param now_s: monotonic time in seconds.
        """
        if self.table.merge(reports, now_s):
            self._log_blocks()

    def expire(self, now_s: float) -> None:
        """Drop old records.

        :param now_s: monotonic time in seconds.
        """
        self.table.expire(now_s)
        self._log_blocks()

    def _add_news(self, changed: Sequence[RequestCrash]) -> None:
        if changed:
            self._changed.extend(changed)
            self._news.set()
            self._log_blocks()

    def _log_blocks(self) -> None:
        blocked = self.table.blamed()
        for fingerprint in blocked - self._blocked:
            self._metrics.count(Counter.REQUEST_BLOCKED)
            crashes = self.table.crashes_of(fingerprint)
            _log.warning(
                'request blocked, as it crashes servers',
                extra={
                    'fingerprint': fingerprint,
                    'workspace': crashes[0].workspace,
                    'path': crashes[0].path,
                    'crash_count': len(crashes),
                    'endpoints': [crash.endpoint for crash in crashes],
                },
            )
        for fingerprint in self._blocked - blocked:
            self._metrics.count(Counter.REQUEST_UNBLOCKED)
            _log.info(
                'request no longer blocked', extra={'fingerprint': fingerprint}
            )
        self._blocked = blocked


def _build_report(
    endpoint: EndpointEntry, run: InterruptedRun, now_s: float
) -> RequestCrash:
    call = run.call
    return RequestCrash(
        fingerprint=call.fingerprint,
        endpoint=endpoint.key,
        workspace=call.workspace_name,
        path=call.target[:PATH_LENGTH_MAX],
        run_ms=int((run.ended_s - run.sent_s) * 1000),
        crash_age_ms=int((now_s - run.ended_s) * 1000),
    )
