"""Data that one request collects for its log line."""

from dataclasses import dataclass, field

from rattanvalve.gateway.balancing.admission import Decision

__all__ = ('Trace',)


@dataclass(slots=True)
class Trace:
    """Timings, attempts and result of one request.

    The handler logs them when the request ends.
    """

    workspace: str = ''
    route: str = ''
    #: Decision on the start of a program; without figures if none was made.
    admission: Decision = field(default_factory=Decision)
    is_start: bool = False
    start_wait_ms: int = 0
    rate_wait_ms: int = 0
    #: Time that the request waited for tokens of endpoints with a limit.
    limit_wait_ms: int = 0
    endpoints: list[str] = field(default_factory=list)
    #: Origin of the connection of each attempt: reused, or why it was opened.
    connections: list[str] = field(default_factory=list)
    #: Limit of each endpoint in requests per second when it got the request;
    #: ``None`` if none was known.
    limits_per_s: list[float | None] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)
    run_count: int = 0
    #: Runs that failed because their endpoint ended.
    endpoint_down_count: int = 0
    #: Id of the last event before each resumption on another endpoint.
    resumed_after: list[int | None] = field(default_factory=list)
    expected_count: float = 0
    #: Age of the load report that decided, in milliseconds; ``None`` if no
    #: usable report of the endpoint was known.
    load_age_ms: int | None = None
    #: Time since the rules were confirmed when they decided, in milliseconds.
    rules_age_ms: int | None = None
    status: int = 0
    #: Whether the response stream was truncated after it had started.
    is_cut: bool = False
