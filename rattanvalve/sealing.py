"""Sealing of endpoint processes under a new view."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.messages import (
    Member,
    RecordSummary,
    Refusal,
    Seal,
    Sealed,
    View,
)
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.shardstate import MissingEndpoint
from rattanvalve.viewchain import Step, ViewChain

__all__ = ('LEASE_S', 'Sealer', 'Sealing')

#: After this time the confirmation of an earlier owner has expired.
LEASE_S = 10.0
SEAL_TIMEOUT_S = 3.0
#: Pause before endpoints that did not answer are asked again.
SEAL_RETRY_S = 0.5


@dataclass(slots=True, kw_only=True)
class Sealing:
    """Answers of the endpoints to the seal of one view.

    ``listed`` are the endpoints of all views concerned, with their earlier
    incarnations. ``excluded_s`` states for each name since when an owner that
    uses the endpoint is outdated.
    """

    step: Step
    listed: tuple[Member, ...]
    excluded_s: dict[str, float] = field(default_factory=dict)
    answers: dict[str, Sealed] = field(default_factory=dict)
    is_refused: bool = False

    def open_members(self) -> list[Member]:
        """List the endpoints that have not been sealed.

        :returns: members as in the newest view that lists them.
        """
        newest = {member.name: member for member in self.listed}
        return [
            member
            for name, member in newest.items()
            if name not in self.answers
        ]

    def missing(self, now_s: float) -> list[MissingEndpoint]:
        """Describe the endpoints that have not been sealed.

        :param now_s: current time in seconds.
        :returns: one entry for each.
        """
        return [
            MissingEndpoint(
                name=member.name,
                service_name=member.service_name,
                incarnation=member.incarnation,
                host=member.host,
                port=member.port,
                # For a former member this is in the past.
                since_s=min(now_s, self.excluded_s[member.name] + LEASE_S),
            )
            for member in self.open_members()
        ]

    def wait_s(self, now_s: float) -> float:
        """Tell how long to wait for endpoints that have not been sealed.

        :param now_s: current time in seconds.
        :returns: seconds until no earlier owner that uses one of them can
            have a valid confirmation; 0 or less for no wait.
        """
        newest_s = max(
            (self.excluded_s[member.name] for member in self.open_members()),
            default=now_s - LEASE_S,
        )
        return newest_s + LEASE_S - now_s

    def is_level_known(self) -> bool:
        """Return whether all admissions of the earlier owner were reported.

        :returns: ``False`` if an endpoint is missing, or lost its records by
            a restart.
        """
        return not self.open_members() and all(
            self.answers[member.name].incarnation == member.incarnation
            for member in self.listed
        )

    def records(self) -> Iterable[RecordSummary]:
        """List the records of all sealed endpoints.

        :returns: records.
        """
        for answer in self.answers.values():
            yield from answer.records


class Sealer:
    """Sends ``Seal`` to endpoint processes.

    :param name: name of this entry process.
    :param ports: collaborators.
    :param metrics: counters.
    """

    def __init__(
        self,
        name: str,
        ports: OwnerPorts,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._ports = ports
        self._metrics = metrics

    async def seal_all(self, chain: ViewChain) -> Sealing:
        """Seal all endpoints, or as many as answer within the lease.

        A refusal means that a newer view exists; nothing may be served before
        that view has arrived.

        :param chain: views; a newer one may be entered meanwhile.
        :returns: answers for the newest view.
        """
        sealing = _new_sealing(chain)
        while True:
            if sealing.step is not chain.steps[-1]:
                sealing = _new_sealing(chain)
            await self._ask_open_members(sealing)
            step = chain.steps[-1]
            is_done = sealing.wait_s(self._ports.clock()) <= 0
            is_current = step is sealing.step and not sealing.is_refused
            if is_done and is_current:
                return sealing
            if step is sealing.step:
                await self._ports.sleep(SEAL_RETRY_S)

    async def seal_one(
        self,
        member: Member,
        view: View,
    ) -> Sealed | Refusal | None:
        """Seal one endpoint.

        :param member: endpoint process.
        :param view: view whose epoch it must respect from now on.
        :returns: its answer, or ``None`` if there was none.
        """
        try:
            answer = await self._ports.pool.call(
                Address(member.host, member.port),
                Seal(view=view, owner=self._name),
                SEAL_TIMEOUT_S,
            )
        except PeerError:
            return None
        if isinstance(answer, Sealed):
            self._metrics.count(Counter.SEALED)
        return answer

    async def _ask_open_members(self, sealing: Sealing) -> None:
        members = sealing.open_members()
        answers = await asyncio.gather(
            *(self.seal_one(member, sealing.step.view) for member in members),
        )
        sealing.is_refused = False
        for member, answer in zip(members, answers, strict=True):
            if isinstance(answer, Sealed):
                sealing.answers[member.name] = answer
            elif isinstance(answer, Refusal):
                sealing.is_refused = True


def _new_sealing(chain: ViewChain) -> Sealing:
    listed = tuple(chain.endpoints())
    return Sealing(
        step=chain.steps[-1],
        listed=listed,
        excluded_s={member.name: chain.excluded_s(member) for member in listed},
    )
