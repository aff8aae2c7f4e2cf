"""Names of the outcome of a request."""

__all__ = (
    'ANSWERED',
    'LEFT_REASON',
    'LOOKUP_REASON',
    'NOT_RUN',
    'NOT_SENT_REASON',
    'RUNNING',
    'UNKNOWN',
)

#: The request ran and its response is recorded.
ANSWERED = 'answered'
#: The request had no effect and can have none later.
NOT_RUN = 'not_run'
#: The request is still queued or running.
RUNNING = 'running'
#: It cannot be known whether the request ran.
UNKNOWN = 'unknown'

#: ``reason`` of a ``Resolve`` that only looks an idempotency key up. The
#: message holds the key in ``request_id`` and no ticket number.
LOOKUP_REASON = 'lookup'
#: ``reason`` of a ``Resolve`` for a caller that left before its run began.
#: The message names the request in ``request_id`` and no ticket number.
LEFT_REASON = 'left'
#: ``reason`` of a ``Resolve`` for a ticket that never left the ingress.
NOT_SENT_REASON = 'not sent'
