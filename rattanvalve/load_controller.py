"""Controller of endpoint loads: takes announces, reports silent endpoints."""

from typing import Protocol

from rattanvalve.channels import Handler, Send
from rattanvalve.control import ControlContext
from rattanvalve.loads import ENDPOINT_SILENT_S, EndpointLoads
from rattanvalve.messages import Ack, Announce, Member
from rattanvalve.views import endpoints_of, member_of

__all__ = ('EndpointMembership', 'LoadController')

CHECK_INTERVAL_S = 1.0
#: A longer time between two checks means that this process was paused.
PAUSE_S = 3.0


class EndpointMembership(Protocol):
    """The part of the view controller that this module uses."""

    def add_endpoint(self, member: Member) -> None:
        """Have an endpoint listed."""

    def forget_endpoint(self, name: str, has_left: bool) -> None:
        """Have an endpoint removed."""

    def note_announce(self, announce: Announce) -> Ack:
        """Use the epoch of an announce, and make its answer."""


class LoadController:
    """Fills the endpoint loads from announces.

    :param loads: loads to fill.
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
        self._awaited_since_s: dict[str, float] = {}
        self._checked_at_s: float = 0

    def handlers(self) -> dict[type, Handler]:
        """List the handlers of messages from endpoint processes.

        :returns: handler of ``Announce``.
        """
        return {Announce: self._answer_announce}

    async def run(self) -> None:
        """Look for silent endpoints until cancelled."""
        while True:
            self.check_silent()
            await self._context.sleep(CHECK_INTERVAL_S)

    def check_silent(self) -> None:
        """Ask for the removal of listed endpoints that are silent.

        After a pause of this process, and for endpoints that never announced
        themselves here, the time counts from now.
        """
        now_s = self._context.clock()
        was_paused = now_s - self._checked_at_s > PAUSE_S
        self._checked_at_s = now_s
        self._loads.set_view(self._context.blackboard.view)
        silent = self._loads.silent_names(now_s)
        self._drop_unlisted(silent)
        known = {} if was_paused else self._awaited_since_s
        self._awaited_since_s = {
            member.name: known.get(
                member.name,
                # A known endpoint has been silent for its time already.
                now_s - ENDPOINT_SILENT_S
                if member.name in silent and not was_paused
                else now_s,
            )
            for member in endpoints_of(self._context.blackboard.view)
            if member.name in silent or not self._loads.is_known(member.name)
        }
        for name, since_s in self._awaited_since_s.items():
            if now_s - since_s >= ENDPOINT_SILENT_S:
                self._membership.forget_endpoint(
                    name,
                    self._loads.is_leaving(name),
                )

    def _drop_unlisted(self, names: set[str]) -> None:
        for name in names:
            if member_of(self._context.blackboard.view, name) is None:
                self._loads.forget(name)

    async def _answer_announce(self, message: Announce, send: Send) -> None:
        now_s = self._context.clock()
        self._loads.report(message, now_s)
        self._loads.set_view(self._context.blackboard.view)
        if not message.is_leaving:
            self._membership.add_endpoint(message.member)
        await send(self._membership.note_announce(message))
