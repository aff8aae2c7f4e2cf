"""Outcomes of a request and reasons of ``Resolve`` messages."""

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
#: The request did not run and cannot run later.
NOT_RUN = 'not_run'
#: The request is still queued or running.
RUNNING = 'running'
#: Whether the request ran cannot be determined.
UNKNOWN = 'unknown'

#: ``reason`` of a ``Resolve`` that only looks up an idempotency key. The
#: message carries the key in ``request_id`` and no ticket number.
LOOKUP_REASON = 'lookup'
#: ``reason`` of a ``Resolve`` for a caller that disconnected before its run
#: started. The message carries the id of the request and no ticket number.
LEFT_REASON = 'left'
#: ``reason`` of a ``Resolve`` for a ticket that the ingress did not send.
NOT_SENT_REASON = 'not sent'
