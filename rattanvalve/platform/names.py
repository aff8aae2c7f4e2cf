"""Names of HTTP headers and of object kinds in the platform's store."""

__all__ = (
    'CALLER_KEY',
    'DEADLINE_MS',
    'EXPECTED_ENDPOINT',
    'FINISH_MS',
    'KIND_CONFIG',
    'KIND_MEMBERS',
    'KIND_MEMBER_LIST',
    'KIND_RETIREMENTS',
    'KIND_SERVERS',
    'LAST_EVENT_ID',
    'NOT_RUN',
    'PREVIOUS_TURN',
    'PRIORITY',
    'PROGRAM_ID',
    'PROMPT_PARTS',
    'REQUEST_ID',
    'RESERVED_HEADERS',
    'RETRY_AFTER',
    'SEAL',
    'SERVER_LEAVING',
    'SERVER_LIMIT',
    'SERVER_LOAD',
    'TOKEN_BUDGET',
    'TOKEN_USAGE',
    'WORKSPACE',
)

REQUEST_ID = 'Request-Id'
DEADLINE_MS = 'Deadline-Ms'
CALLER_KEY = 'X-Api-Key'
PROGRAM_ID = 'Program-Id'
FINISH_MS = 'Finish-Ms'
TOKEN_BUDGET = 'Token-Budget'
# Two numbers: prompt tokens and the limit of output tokens.
TOKEN_USAGE = 'Token-Usage'
PROMPT_PARTS = 'Prompt-Prefix'
PREVIOUS_TURN = 'Previous-Turn'
# Id of the last event of a stream that the caller received.
LAST_EVENT_ID = 'Last-Event-Id'
WORKSPACE = 'Tenant'
EXPECTED_ENDPOINT = 'Expect-Instance'
PRIORITY = 'Request-Priority'
# Proof that the server itself wrote the response.
SEAL = 'Server-Seal'
SERVER_LOAD = 'Server-Load'
# Requests per second that the server accepts from all gateways together; set
# while the limit holds.
SERVER_LIMIT = 'Server-Limit'
# Set in each response of a draining server.
SERVER_LEAVING = 'Server-Leaving'
NOT_RUN = 'Not-Executed'
RETRY_AFTER = 'Retry-After'

#: Headers that only the gateway may set, in lower case. Those of a caller are
#: dropped.
RESERVED_HEADERS = frozenset(
    (
        'tenant',
        'expect-instance',
        'expect-version',
        'request-priority',
        'hold',
        'pin-ms',
        'kv-backup',
        'kv-from',
        'kv-fetch',
        'last-event-id',
        'x-api-key',
        'deadline-ms',
    ),
)

KIND_CONFIG = 'config'
KIND_SERVERS = 'servers'
KIND_RETIREMENTS = 'retirements'
#: Registrations of the turn stores, and the list of those that store records;
#: the platform itself does not define these kinds.
KIND_MEMBERS = 'turnstores'
KIND_MEMBER_LIST = 'turnstorelists'
