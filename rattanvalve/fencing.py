"""Fencing check of engine commands, for engines without their own."""

from rattanvalve.messages import Refusal
from rattanvalve.resultcodes import ResultCode

__all__ = ('FencingGate',)


class FencingGate:
    """Refuses commands whose token is older than the newest one seen.

    The fencing token of a command is the epoch of the view that it was issued
    under.
    """

    def __init__(self) -> None:
        self.newest_token = 0

    def check(self, token: int) -> Refusal | None:
        """Check the token of a command and store it if it is newer.

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
