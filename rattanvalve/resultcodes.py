"""Numbered result codes of refusals, failures and outcomes.

``docs/result-codes.md`` is generated from this table. Numbers are stable: a
code never changes its number, and numbers of removed codes are not reused.
"""

import enum
from dataclasses import dataclass

__all__ = ('RESULT_CODES', 'ResultCode', 'ResultCodeInfo', 'result_code_info')


class ResultCode(enum.IntEnum):
    """Result code numbers, grouped in hundreds by the cause."""

    OK = 0
    BAD_JSON = 1001
    BODY_TOO_LARGE = 1002
    BODY_TOO_DEEP = 1003
    BAD_FIELD = 1004
    UNKNOWN_MODEL = 1005
    UNKNOWN_SERVICE = 1006
    HEADER_TOO_LONG = 1007
    UNKNOWN_PATH = 1008
    METHOD_NOT_ALLOWED = 1009
    UNKNOWN_OUTCOME_KEY = 1010
    UNKNOWN_TURN = 1011
    REQUEST_TIMEOUT = 1012
    KEY_MISSING = 1101
    KEY_UNKNOWN = 1102
    KEY_WITHDRAWN = 1103
    NOT_PERMITTED = 1104
    RATE_EXCEEDED = 1201
    BUDGET_EXHAUSTED = 1202
    QUEUE_FULL = 1203
    PROGRAM_BUSY = 1204
    TIMEOUT_QUEUED = 1205
    KEY_REUSED = 1206
    NO_ENDPOINT = 1301
    OWNER_UNAVAILABLE = 1302
    NOT_CONFIRMED = 1303
    STOPPING = 1304
    STARTING = 1305
    TURN_STORE_UNAVAILABLE = 1306
    ENDPOINTS_LIMITED = 1307
    REQUEST_SUSPECTED = 1308
    RULES_UNCONFIRMED = 1309
    SERVICE_FULL = 1310
    CALLERS_LIMITED = 1311
    STALE_EPOCH = 1401
    STALE_TICKET = 1402
    DUPLICATE_TICKET = 1403
    TICKET_VOID = 1404
    STALE_FENCING_TOKEN = 1405
    ENDPOINT_LEAVING = 1406
    NOT_OWNER = 1407
    BACKEND_FAILED = 1501
    BACKEND_TIMEOUT = 1502
    OUTCOME_UNKNOWN = 1503
    CALLER_GONE = 1504
    RESPONSE_EVICTED = 1505
    REQUEST_CRASHES_SERVERS = 1506
    BAD_CONFIGURATION = 1601
    CONFLICT = 1602
    STORE_UNAVAILABLE = 1603
    CONFIGURATION_TOO_LARGE = 1604
    INTERNAL_ERROR = 1901


@dataclass(frozen=True, slots=True)
class ResultCodeInfo:
    """Presentation of a result code in responses.

    ``was_not_run`` means that the request had no effect and may be repeated.
    """

    code: ResultCode
    http_status: int
    error_type: str
    was_not_run: bool
    text: str


_INVALID = 'invalid_request_error'
_AUTH = 'authentication_error'
_PERMISSION = 'permission_error'
_RATE = 'rate_limit_error'
_SERVER = 'server_error'
_INTERNAL = 'internal_error'

_ROWS = (
    (ResultCode.OK, 200, '', False, 'success'),
    (ResultCode.BAD_JSON, 400, _INVALID, True, 'the body is not valid JSON'),
    (ResultCode.BODY_TOO_LARGE, 413, _INVALID, True, 'the body is too large'),
    (
        ResultCode.BODY_TOO_DEEP,
        400,
        _INVALID,
        True,
        'the body is nested too deeply',
    ),
    (
        ResultCode.BAD_FIELD,
        400,
        _INVALID,
        True,
        'a field is missing or has a wrong type',
    ),
    (ResultCode.UNKNOWN_MODEL, 404, _INVALID, True, 'unknown model'),
    (ResultCode.UNKNOWN_SERVICE, 404, _INVALID, True, 'unknown service'),
    (ResultCode.HEADER_TOO_LONG, 431, _INVALID, True, 'a header is too long'),
    (ResultCode.UNKNOWN_PATH, 404, _INVALID, True, 'unknown path'),
    (ResultCode.METHOD_NOT_ALLOWED, 405, _INVALID, True, 'method not allowed'),
    (
        ResultCode.UNKNOWN_OUTCOME_KEY,
        404,
        _INVALID,
        False,
        'no record of this idempotency key',
    ),
    (ResultCode.UNKNOWN_TURN, 404, _INVALID, True, 'no such earlier turn'),
    (
        ResultCode.REQUEST_TIMEOUT,
        408,
        _INVALID,
        True,
        'the body did not arrive in time',
    ),
    (ResultCode.KEY_MISSING, 401, _AUTH, True, 'no key was sent'),
    (ResultCode.KEY_UNKNOWN, 401, _AUTH, True, 'unknown key'),
    (ResultCode.KEY_WITHDRAWN, 401, _AUTH, False, 'the key was withdrawn'),
    (
        ResultCode.NOT_PERMITTED,
        403,
        _PERMISSION,
        True,
        'the key does not permit this',
    ),
    (
        ResultCode.RATE_EXCEEDED,
        429,
        _RATE,
        True,
        'the workspace is over its rate',
    ),
    (
        ResultCode.BUDGET_EXHAUSTED,
        402,
        _PERMISSION,
        True,
        'the budget of the program is spent',
    ),
    (ResultCode.QUEUE_FULL, 503, _SERVER, True, 'the queue is full'),
    (
        ResultCode.PROGRAM_BUSY,
        409,
        _INVALID,
        True,
        'an earlier call of the program is still running',
    ),
    (
        ResultCode.TIMEOUT_QUEUED,
        503,
        _SERVER,
        True,
        'the request waited too long and was not run',
    ),
    (
        ResultCode.KEY_REUSED,
        422,
        _INVALID,
        True,
        'the idempotency key was used for another request',
    ),
    (
        ResultCode.NO_ENDPOINT,
        503,
        _SERVER,
        True,
        'no endpoint of the service can take the request',
    ),
    (
        ResultCode.OWNER_UNAVAILABLE,
        503,
        _SERVER,
        True,
        'the owner of the workspace cannot be reached',
    ),
    (
        ResultCode.NOT_CONFIRMED,
        503,
        _SERVER,
        True,
        'the owner has no current confirmation of its view',
    ),
    (ResultCode.STOPPING, 503, _SERVER, True, 'the process is stopping'),
    (
        ResultCode.TURN_STORE_UNAVAILABLE,
        503,
        _SERVER,
        True,
        'the turn store cannot be reached',
    ),
    (
        ResultCode.ENDPOINTS_LIMITED,
        503,
        _SERVER,
        True,
        'all endpoints of the service are at the rate that they accept',
    ),
    (
        ResultCode.REQUEST_SUSPECTED,
        503,
        _SERVER,
        True,
        'servers have crashed while they ran this request and others',
    ),
    (
        ResultCode.RULES_UNCONFIRMED,
        503,
        _SERVER,
        True,
        'newer rules may allow the request; the store has not confirmed these',
    ),
    (
        ResultCode.SERVICE_FULL,
        503,
        _SERVER,
        True,
        'the service is too full for the program to start',
    ),
    (
        ResultCode.CALLERS_LIMITED,
        503,
        _SERVER,
        True,
        'the process holds as many bytes of callers as it may',
    ),
    (
        ResultCode.STARTING,
        503,
        _SERVER,
        True,
        'the process has no configuration yet',
    ),
    (
        ResultCode.STALE_EPOCH,
        503,
        _SERVER,
        True,
        'the message has an older epoch than the receiver',
    ),
    (
        ResultCode.STALE_TICKET,
        503,
        _SERVER,
        True,
        'the ticket is for another incarnation of the endpoint',
    ),
    (
        ResultCode.DUPLICATE_TICKET,
        409,
        _SERVER,
        False,
        'the ticket was already accepted',
    ),
    (
        ResultCode.TICKET_VOID,
        503,
        _SERVER,
        True,
        'the ticket was settled as not run',
    ),
    (
        ResultCode.STALE_FENCING_TOKEN,
        409,
        _INTERNAL,
        True,
        'an order has an older fencing token',
    ),
    (
        ResultCode.ENDPOINT_LEAVING,
        503,
        _SERVER,
        True,
        'the endpoint takes no new work',
    ),
    (
        ResultCode.NOT_OWNER,
        503,
        _SERVER,
        True,
        'the process does not own the workspace shard',
    ),
    (ResultCode.BACKEND_FAILED, 502, _SERVER, False, 'the endpoint failed'),
    (
        ResultCode.BACKEND_TIMEOUT,
        504,
        _SERVER,
        False,
        'the endpoint did not answer in time',
    ),
    (
        ResultCode.OUTCOME_UNKNOWN,
        502,
        _SERVER,
        False,
        'it is unknown whether the request ran',
    ),
    (ResultCode.CALLER_GONE, 499, _INVALID, False, 'the caller disconnected'),
    (
        ResultCode.RESPONSE_EVICTED,
        410,
        _SERVER,
        False,
        'the request ran, but its recorded response is no longer kept',
    ),
    (
        ResultCode.REQUEST_CRASHES_SERVERS,
        501,
        _SERVER,
        False,
        'servers have crashed while they ran this request',
    ),
    (
        ResultCode.BAD_CONFIGURATION,
        422,
        _INVALID,
        True,
        'the configuration is invalid',
    ),
    (
        ResultCode.CONFLICT,
        409,
        _INVALID,
        True,
        'the configuration was changed by another operator',
    ),
    (
        ResultCode.STORE_UNAVAILABLE,
        503,
        _SERVER,
        False,
        'the object store cannot be reached',
    ),
    (
        ResultCode.CONFIGURATION_TOO_LARGE,
        413,
        _INVALID,
        True,
        'the configuration is too large to be stored',
    ),
    (ResultCode.INTERNAL_ERROR, 500, _SERVER, False, 'internal error'),
)

RESULT_CODES = {row[0]: ResultCodeInfo(*row) for row in _ROWS}


def result_code_info(code: int) -> ResultCodeInfo:
    """Return the presentation of a result code.

    :param code: number of a result code; a number that is unknown, since a
        newer process sent it, is presented as an internal error.
    :returns: HTTP status, error type and text of the code.
    """
    if code in RESULT_CODES:
        return RESULT_CODES[ResultCode(code)]
    return RESULT_CODES[ResultCode.INTERNAL_ERROR]
