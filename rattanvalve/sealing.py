"""Sealing of endpoint processes under a new view.

A sealed endpoint refuses tickets of older epochs and reports its records.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanvalve.channels import Address
from rattanvalve.confirmations import LEASE_S
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

__all__ = ('SealRound', 'Sealer')

#: Timeout of one ``Seal`` message, in seconds.
SEAL_TIMEOUT_S = 3.0
#: Pause before unsealed endpoints are tried again, in seconds.
SEAL_RETRY_S = 0.5


@dataclass(slots=True, kw_only=True)
class SealRound:
    """Answers of the endpoints to the seal of one view.

    ``endpoints`` are the endpoints of all views that the takeover covers,
    including earlier incarnations. ``excluded_s`` is, for each endpoint name,
    the time since which an owner that uses the endpoint has a stale view.
    """

    step: Step
    endpoints: tuple[Member, ...]
    excluded_s: dict[str, float] = field(default_factory=dict)
    answers: dict[str, Sealed] = field(default_factory=dict)
    is_refused: bool = False

    def unsealed_members(self) -> list[Member]:
        """Return the endpoints that have not been sealed.

        :returns: members as in the newest view that lists them.
        """
        newest = {member.name: member for member in self.endpoints}
        return [
            member
            for name, member in newest.items()
            if name not in self.answers
        ]

    def missing(self, now_s: float) -> list[MissingEndpoint]:
        """Return the unsealed endpoints as entries for the seal state.

        :param now_s: current time in seconds.
        :returns: one entry for each unsealed endpoint.
        """
        return [
            MissingEndpoint(
                name=member.name,
                service_name=member.service_name,
                incarnation=member.incarnation,
                host=member.host,
                port=member.port,
                # Former members were excluded earlier, so their lease may
                # have expired in the past.
                since_s=min(now_s, self.excluded_s[member.name] + LEASE_S),
            )
            for member in self.unsealed_members()
        ]

    def wait_s(self, now_s: float) -> float:
        """Compute the remaining wait for the unsealed endpoints.

        :param now_s: current time in seconds.
        :returns: seconds until no previous owner that uses one of them can
            have a valid confirmation; 0 or less for no wait.
        """
        newest_s = max(
            (
                self.excluded_s[member.name]
                for member in self.unsealed_members()
            ),
            default=now_s - LEASE_S,
        )
        return newest_s + LEASE_S - now_s

    def is_level_known(self) -> bool:
        """Check whether all admissions of the previous owner were reported.

        :returns: ``False`` if an endpoint is unsealed, or has lost its records
            by a restart.
        """
        return not self.unsealed_members() and all(
            self.answers[member.name].incarnation == member.incarnation
            for member in self.endpoints
        )

    def records(self) -> Iterable[RecordSummary]:
        """Iterate over the records of all sealed endpoints.

        :returns: records, grouped by endpoint.
        """
        for answer in self.answers.values():
            yield from answer.records


class Sealer:
    """Sends ``Seal`` messages to endpoint processes.

    :param name: name of this entry process.
    :param ports: functions and objects of the rest of the process.
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

    async def seal_all(self, chain: ViewChain) -> SealRound:
        """Seal all endpoints, or those that answer before the lease expires.

        A refusal means that a newer view exists. The method then continues
        until that view arrives, since nothing may be served before.

        :param chain: views to take over; newer ones may be added while this
            method waits.
        :returns: answers for the newest view.
        """
        seal_round = _new_round(chain)
        while True:
            if seal_round.step is not chain.steps[-1]:
                seal_round = _new_round(chain)
            await self._seal_remaining(seal_round)
            step = chain.steps[-1]
            is_done = seal_round.wait_s(self._ports.clock()) <= 0
            is_current = step is seal_round.step and not seal_round.is_refused
            if is_done and is_current:
                return seal_round
            if step is seal_round.step:
                await self._ports.sleep(SEAL_RETRY_S)

    async def seal_one(
        self,
        member: Member,
        view: View,
    ) -> Sealed | Refusal | None:
        """Seal one endpoint; a failed call is not retried.

        :param member: endpoint process.
        :param view: view below whose epoch it must refuse tickets.
        :returns: answer of the endpoint, or ``None`` if the call failed.
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

    async def _seal_remaining(self, seal_round: SealRound) -> None:
        members = seal_round.unsealed_members()
        answers = await asyncio.gather(
            *(
                self.seal_one(member, seal_round.step.view)
                for member in members
            ),
        )
        seal_round.is_refused = False
        for member, answer in zip(members, answers, strict=True):
            if isinstance(answer, Sealed):
                seal_round.answers[member.name] = answer
            elif isinstance(answer, Refusal):
                seal_round.is_refused = True


def _new_round(chain: ViewChain) -> SealRound:
    endpoints = tuple(chain.endpoints())
    return SealRound(
        step=chain.steps[-1],
        endpoints=endpoints,
        excluded_s={
            member.name: chain.excluded_since_s(member) for member in endpoints
        },
    )
