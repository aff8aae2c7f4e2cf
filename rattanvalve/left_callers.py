"""What remains to be done after a caller has left."""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from rattanvalve import outcomes
from rattanvalve.messages import Resolve
from rattanvalve.owner_client import OWNER_WAIT_MAX_S, OwnerClient
from rattanvalve.relay_state import Progress
from rattanvalve.response_copies import ResponseCopies
from rattanvalve.streams import OpenRequests

__all__ = ('LeftCallers',)


@dataclass(slots=True, kw_only=True)
class LeftCallers:
    """Settles tickets that are not used, and keeps copies of responses.

    :param owner_client: finds and asks owners.
    :param copies: copies of responses.
    :param open_requests: keeps what goes on without a caller.
    """

    owner_client: OwnerClient
    copies: ResponseCopies
    open_requests: OpenRequests

    def leave(self, progress: Progress) -> None:
        """Note that the caller of a request has left.

        :param progress: state of the request.
        """
        request = progress.request
        if not request.entry.may_have_run:
            # The owner may have issued a ticket that never arrived here.
            self._start(self._settle_ticket(progress))
        elif request.begin.idempotency_key and not request.entry.is_cut:
            # Only with the key can the caller ask for this response again.
            self._start(self.copies.keep(progress.place, request.deadline_s))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self.open_requests.keep(asyncio.ensure_future(work))

    async def _settle_ticket(self, progress: Progress) -> None:
        begin = progress.request.begin
        await self.owner_client.ask(
            Resolve(
                request_id=begin.request_id,
                workspace=begin.workspace,
                shard=begin.shard,
                program_id=begin.program_id,
                reason=outcomes.LEFT_REASON,
            ),
            time.monotonic() + OWNER_WAIT_MAX_S,
        )
