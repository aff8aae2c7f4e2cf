"""Fencing check of engine commands, for engines that do not check."""

from rattanvalve.messages import Refusal
from rattanvalve.resultcodes import ResultCode

__all__ = ('FencingGate',)


class FencingGate:
    """Remembers the newest fencing token; the token is the view's epoch."""

    def __init__(self) -> None:
        self.newest_token = 0

    def check(self, token: int) -> Refusal | None:
        """Check the token of a command and remember it if it is newer.

        :param token: epoch of the view under which the command was issued.
        :returns: ``None`` if the command may be sent, else a refusal.
        """
        if token < self.newest_token:
            return Refusal(
                code=ResultCode.STALE_FENCING_TOKEN,
                detail=f'token {token} is older than {self.newest_token}',
                epoch=self.newest_token,
            )
        self.newest_token = token
        return None
