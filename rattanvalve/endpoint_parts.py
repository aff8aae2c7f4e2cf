"""State and clients shared by the modules of an endpoint process."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rattanvalve.blackboard import Blackboard
from rattanvalve.cache_keeper import CacheKeeper
from rattanvalve.counters import Metrics
from rattanvalve.engine_client import EngineClient
from rattanvalve.finish_reports import FinishReports
from rattanvalve.messages import Ticket
from rattanvalve.records import RecordStore
from rattanvalve.runqueue import RunQueue
from rattanvalve.server_rate import ServerRate
from rattanvalve.service_client import ServiceClient

__all__ = ('DETACHED_GRACE_S', 'ConfirmationAge', 'EndpointParts')

#: Time after which a repeatable run without a connection is cancelled, in
#: seconds.
DETACHED_GRACE_S = 2.0


class ConfirmationAge(Protocol):
    """Read access to the age of the view's confirmation."""

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest confirmation.

        :param now_s: monotonic time in seconds.
        :returns: age in seconds.
        """


@dataclass(slots=True, kw_only=True)
class EndpointParts:
    """State, clients and limits of an endpoint process.

    A non-repeatable run may start only while the age of the confirmation is
    below ``lease_s`` (``confirmations.LEASE_S``).
    """

    records: RecordStore
    queue: RunQueue
    rate: ServerRate
    client: EngineClient | ServiceClient
    keeper: CacheKeeper
    reports: FinishReports
    board: Blackboard
    confirmation: ConfirmationAge
    lease_s: float
    metrics: Metrics
    detached_grace_s: float = DETACHED_GRACE_S
    clock: Callable[[], float] = field(default=time.monotonic)

    def may_run(self, ticket: Ticket) -> bool:
        """Check whether the confirmation of the view allows a run now.

        :param ticket: ticket of the run.
        :returns: whether the run is repeatable or the confirmation is younger
            than the lease.
        """
        age_s = self.confirmation.age_s(self.clock())
        return ticket.is_repeatable or age_s < self.lease_s
