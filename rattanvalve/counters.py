"""Statsd counters, one for each refusal, retry and outcome reason."""

import enum
from collections import Counter as CountTable

from statsd import StatsClient

from rattanvalve.resultcodes import ResultCode, result_code_info

__all__ = ('Counter', 'Metrics', 'refusal_counter_name')


class Counter(enum.StrEnum):
    """Counter names; the names for result codes are derived."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'
    RETRY_NOT_RUN = 'retry.not_run'
    RETRY_REPEATABLE = 'retry.repeatable'
    RETRY_STREAM_RESUMED = 'retry.stream_resumed'
    RETRY_STALE_EPOCH = 'retry.stale_epoch'
    RETRY_OWNER_CHANGED = 'retry.owner_changed'
    RETRY_BUDGET_EMPTY = 'retry.budget_empty'
    OUTCOME_ANSWERED = 'outcome.answered'
    OUTCOME_NOT_RUN = 'outcome.not_run'
    OUTCOME_UNKNOWN = 'outcome.unknown'
    OUTCOME_REPLAYED = 'outcome.replayed'
    STREAM_CUT_KEY = 'stream.cut_key_withdrawn'
    CALLER_DISCONNECTED = 'caller.disconnected'
    CALLER_EVICTED = 'caller.evicted'
    CALLER_CROWDED_OUT = 'caller.crowded_out'
    CALLER_NOT_READING = 'caller.not_reading'
    HISTORY_FORK = 'history.fork'
    VIEW_CHANGED = 'view.changed'
    VIEW_CONFLICT = 'view.conflict'
    VIEW_MALFORMED = 'view.malformed'
    VM_LIST_ERROR = 'vms.error'
    CONFIG_ADOPTED = 'config.adopted'
    CONFIG_REJECTED_OLDER = 'config.rejected_older'
    CONFIG_DIFFERENCES = 'config.differences'
    CONFIG_MISMATCH = 'config.mismatch'
    DOCUMENT_STALE = 'document.stale'
    EXCHANGE_FAILED = 'exchange.failed'
    STORE_ERROR = 'store.error'
    STORE_READ_BACK = 'store.read_back'
    SEALED = 'seal.done'
    REBUILT_RECORDS = 'seal.records'
    ENDPOINT_CRASHED = 'endpoint.crashed'
    ENDPOINT_EJECTED = 'endpoint.ejected'
    ENDPOINT_LIMIT_STATED = 'endpoint.limit_stated'
    ENDPOINT_LIMIT_ENDED = 'endpoint.limit_ended'
    ENDPOINT_LIMIT_MALFORMED = 'endpoint.limit_malformed'
    ENDPOINT_STATUS_INVALID = 'endpoint.status_invalid'
    ENDPOINT_LIMITED_REQUESTS = 'endpoint.limited_requests'
    CONNECTION_REUSED = 'connection.reused'
    CONNECTION_OPENED_FIRST = 'connection.opened_first'
    CONNECTION_OPENED_BUSY = 'connection.opened_busy'
    CONNECTION_OPENED_EXPIRED = 'connection.opened_expired'
    CONNECTION_OPENED_REFUSED = 'connection.opened_refused'
    CONNECTION_OPENED_CHECK = 'connection.opened_check'
    CONNECTION_NOT_ACCEPTED = 'connection.not_accepted'
    CONNECTION_OUTSIDE_SUBSET = 'connection.outside_subset'
    RATE_START_REFUSED = 'rate.start_refused'
    RATE_CONTINUATION_REFUSED = 'rate.continuation_refused'
    RATE_TRANSFERS = 'rate.transfers'
    RATE_TRANSFER_FAILED = 'rate.transfer_failed'
    TURN_PREDECESSOR_MISSING = 'turn.predecessor_missing'
    CACHE_HELD = 'cache.held'
    CACHE_RELEASED = 'cache.released'
    RUN_PAUSED = 'run.paused'
    RUN_RESUMED = 'run.resumed'
    PAUSE_REFUSED = 'run.pause_refused'
    REQUEST_BLOCKED = 'request.blocked'
    REQUEST_UNBLOCKED = 'request.unblocked'
    FRAME_REJECTED = 'frame.rejected'
    HANDLER_FAILED = 'handler.failed'
    RELOADED = 'settings.reloaded'
    RELOAD_FAILED = 'settings.reload_failed'
    HTTP_MALFORMED = 'http.malformed'
    INVARIANT_VIOLATED = 'invariant.violated'


def refusal_counter_name(code: ResultCode) -> str:
    """Return the counter name of a result code.

    :param code: result code of a refusal or failure.
    :returns: statsd name, such as ``refused.rate_exceeded``.
    """
    return f'refused.{code.name.lower()}'


class Metrics:
    """Counters of one process, kept in memory and sent to statsd over UDP.

    :param host: statsd host; an empty string sends nothing.
    :param port: statsd UDP port.
    :param prefix: prefix of each sent name, normally the process role.
    """

    def __init__(self, host: str = '', port: int = 8125, prefix: str = ''):
        self.counts: CountTable[str] = CountTable()
        self._client = (
            StatsClient(host, port, prefix=prefix or None) if host else None
        )

    def count(self, counter: Counter | str, amount: int = 1) -> None:
        """Increment a counter.

        :param counter: name from :class:`Counter` or of a result code.
        :param amount: increment.
        """
        self.counts[str(counter)] += amount
        if self._client is not None:
            self._client.incr(str(counter), amount)

    def count_code(self, code: int) -> None:
        """Increment the counter of a result code by one.

        :param code: number of a result code; one that is unknown, since a
            newer process sent it, counts as an internal error.
        """
        self.count(refusal_counter_name(result_code_info(code).code))
