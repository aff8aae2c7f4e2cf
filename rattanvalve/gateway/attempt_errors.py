"""Errors that end an attempt to send a request to an endpoint."""

__all__ = ('AttemptFailedError', 'GrantExpiredError')


class AttemptFailedError(Exception):
    """An attempt that ended without a complete response.

    ``may_have_run`` is false if the endpoint certainly did not execute the
    request. ``is_endpoint_down`` is true if the endpoint did not accept a new
    connection after the failure; checked on resumable routes only.
    """

    def __init__(
        self,
        reason: str,
        *,
        may_have_run: bool,
        is_endpoint_down: bool = False,
    ) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.is_endpoint_down = is_endpoint_down


class GrantExpiredError(Exception):
    """The rate grant of a request expired before the request was sent."""
