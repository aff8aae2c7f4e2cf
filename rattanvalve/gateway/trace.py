"""What became of one request, for its log line."""

from dataclasses import dataclass, field

__all__ = ('Trace',)


@dataclass(slots=True)
class Trace:
    """What became of one request, for its log line."""

    workspace: str = ''
    route: str = ''
    is_start: bool = False
    start_wait_ms: int = 0
    rate_wait_ms: int = 0
    endpoints: list[str] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)
    run_count: int = 0
    #: Runs whose endpoint ended with them.
    gone_count: int = 0
    #: Event after which a stream went on elsewhere, for each time.
    resumed_after: list[int | None] = field(default_factory=list)
    expected_count: float = 0
    status: int = 0
    #: Whether a stream broke off after its beginning.
    is_cut: bool = False
