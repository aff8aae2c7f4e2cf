"""Cleanup after the disconnect of a caller."""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from rattanvalve import outcomes
from rattanvalve.messages import Resolve
from rattanvalve.open_requests import OpenRequests
from rattanvalve.owner_client import OWNER_WAIT_MAX_S, OwnerClient
from rattanvalve.relay_state import Progress
from rattanvalve.response_copies import ResponseCopies

__all__ = ('DisconnectHandler',)


@dataclass(slots=True, kw_only=True)
class DisconnectHandler:
    """Settles unused tickets and stores copies of responses.

    :param owner_client: sends requests to the owner of a shard.
    :param copies: copies of responses.
    :param open_requests: tracks tasks that continue without a caller.
    """

    owner_client: OwnerClient
    copies: ResponseCopies
    open_requests: OpenRequests

    def handle_disconnect(self, progress: Progress) -> None:
        """Start the cleanup for a request whose caller disconnected.

        :param progress: state of the request.
        """
        request = progress.request
        if not request.entry.may_have_run:
            # The owner may have issued a ticket that did not arrive here.
            self._run_in_background(self._settle_ticket(progress))
        elif request.begin.idempotency_key and not request.entry.is_cut:
            # Without the key the caller cannot request this response again.
            self._run_in_background(
                self.copies.keep(progress.location, request.deadline_s)
            )

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
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
