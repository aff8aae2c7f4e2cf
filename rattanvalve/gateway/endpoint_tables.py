"""What a gateway knows of the endpoints, in one object."""

from dataclasses import dataclass, field

from rattanvalve.counters import Metrics
from rattanvalve.gateway.balancing.shared_load import shared_load_factory
from rattanvalve.gateway.connection_pool import ConnectionPool
from rattanvalve.gateway.crash_watch import CrashWatch
from rattanvalve.gateway.directory import EndpointDirectory
from rattanvalve.gateway.endpoint_limits import EndpointLimits
from rattanvalve.gateway.loads import LoadTable
from rattanvalve.gateway.request_crashes import RequestCrashes
from rattanvalve.sharedstate.endpoint_loads import LoadReports
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('EndpointTables',)


@dataclass(slots=True)
class EndpointTables:
    """Entries, loads, limits, crashes and connections of all endpoints.

    An endpoint that the directory drops is removed from all tables.

    :param metrics: counters of this process.
    :param has_contention: whether gateways share the load reports of endpoints
        and save connections to them.
    """

    metrics: Metrics
    has_contention: bool = False
    #: Load reports of all gateways; ``None`` if they are not shared.
    reports: LoadReports | None = field(init=False, default=None)
    loads: LoadTable = field(default_factory=LoadTable)
    pool: ConnectionPool = field(init=False)
    limits: EndpointLimits = field(init=False)
    crashes: RequestCrashes = field(init=False)
    directory: EndpointDirectory = field(init=False)
    crash_watch: CrashWatch = field(init=False)

    def __post_init__(self) -> None:
        self.pool = ConnectionPool(
            self.metrics, keeps_refused=self.has_contention
        )
        if self.has_contention:
            self.reports = LoadReports()
            self.loads = LoadTable(shared_load_factory(self.reports))
        self.limits = EndpointLimits(self.metrics)
        self.crashes = RequestCrashes(self.metrics, self.limits.news)
        self.directory = EndpointDirectory(self._forget)
        self.crash_watch = CrashWatch(
            self.pool, self.directory, self.metrics, self.crashes.record_crash
        )

    def _forget(self, endpoint: EndpointEntry) -> None:
        self.pool.forget(endpoint)
        self.loads.forget(endpoint)
        if self.reports is not None:
            self.reports.drop(endpoint.key)
        self.limits.forget(endpoint)
        self.crash_watch.forget(endpoint)
