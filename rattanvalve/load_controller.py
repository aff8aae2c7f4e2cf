"""Controller that records announces and removes silent endpoints."""

from typing import Protocol

from rattanvalve.channels import Address, Handler, Send
from rattanvalve.control import ControlContext
from rattanvalve.loads import ENDPOINT_SILENT_S, EndpointLoads
from rattanvalve.messages import Ack, Announce, Member
from rattanvalve.views import endpoints_of, find_member

__all__ = ('EndpointMembership', 'LoadController')

CHECK_INTERVAL_S = 1.0
#: Longest time between two checks unless this process was paused.
PAUSE_S = 3.0


class EndpointMembership(Protocol):
    """Methods of the view controller that this module uses."""

    def add_endpoint(self, member: Member) -> None:
        """Request that an endpoint is added to the view."""

    def remove_endpoint(self, name: str, has_left: bool) -> None:
        """Request that an endpoint is removed from the view."""

    def handle_announce(self, announce: Announce) -> Ack:
        """Process the epoch of an announce and return the reply."""


class LoadController:
    """Updates the endpoint loads from announces and checks for silence.

    :param loads: loads to update.
    :param membership: view controller of this process.
    :param context: blackboard and clock.
    """

    def __init__(
        self,
        loads: EndpointLoads,
        membership: EndpointMembership,
        context: ControlContext,
    ) -> None:
        self._loads = loads
        self._membership = membership
        self._context = context
        self._silent_since_s: dict[str, float] = {}
        self._checked_at_s: float = 0

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of messages from endpoint processes.

        :returns: handler of ``Announce``.
        """
        return {Announce: self._handle_announce}

    async def run(self) -> None:
        """Check for silent endpoints periodically until cancelled."""
        while True:
            self.check_silent()
            await self._context.sleep(CHECK_INTERVAL_S)

    def check_silent(self) -> None:
        """Request the removal of listed endpoints that are silent.

        After a pause of this process, the silence of every endpoint is
        measured from the current time. The same applies to an endpoint that
        has not announced itself to this process.
        """
        now_s = self._context.clock()
        was_paused = now_s - self._checked_at_s > PAUSE_S
        self._checked_at_s = now_s
        self._loads.set_view(self._context.blackboard.view)
        silent = self._loads.silent_names(now_s)
        self._drop_unlisted(silent)
        previous_since_s = {} if was_paused else self._silent_since_s
        self._silent_since_s = {
            member.name: previous_since_s.get(
                member.name,
                # A known endpoint has already exceeded the silent period.
                now_s - ENDPOINT_SILENT_S
                if member.name in silent and not was_paused
                else now_s,
            )
            for member in endpoints_of(self._context.blackboard.view)
            if member.name in silent or not self._loads.is_known(member.name)
        }
        for name, since_s in self._silent_since_s.items():
            if now_s - since_s >= ENDPOINT_SILENT_S:
                self._membership.remove_endpoint(
                    name,
                    self._loads.is_leaving(name),
                )

    def _drop_unlisted(self, names: set[str]) -> None:
        for name in names:
            if find_member(self._context.blackboard.view, name) is None:
                self._loads.forget(name)

    async def _handle_announce(self, message: Announce, send: Send) -> None:
        now_s = self._context.clock()
        self._loads.report(message, now_s)
        self._loads.set_view(self._context.blackboard.view)
        member = message.member
        if message.is_leaving:
            # Before the acknowledgement: the process ends once it has it.
            self._context.retire(Address(member.host, member.port))
        else:
            self._membership.add_endpoint(member)
        await send(self._membership.handle_announce(message))
