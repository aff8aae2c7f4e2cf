"""Load reports of endpoints, as gateways and turn stores pass them on.

Each process converts the age of a report into its own monotonic time, so the
newer of two reports is found without comparing clocks.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rattanvalve.turn_messages import EndpointLoadReport

__all__ = ('REPORT_TTL_S', 'KnownLoad', 'LoadReports', 'heard_times')

#: Time after which a report is dropped. An endpoint holds a request for well
#: under a second, so its load has changed completely by then.
REPORT_TTL_S = 3.0
#: A report with the same figures is newer only beyond this time. Otherwise the
#: transit time of messages would make it younger at each hop.
REPEATED_MARGIN_S = 0.1
#: Figures beyond these bounds are errors of the sender.
COUNT_MAX = 100_000
SPEED_MAX_PERCENT = 10_000


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """A load report and the monotonic time of its arrival, in seconds.

    ``count`` and ``speed_percent`` are those of
    :class:`~rattanvalve.turn_messages.EndpointLoadReport`.
    """

    count: int
    speed_percent: int
    heard_s: float

    def is_repeated_by(self, other: 'KnownLoad') -> bool:
        """Check whether another report is probably the same one.

        :param other: report of the same endpoint.
        :returns: whether its figures are equal and it is hardly newer.
        """
        is_same = (
            other.count == self.count
            and other.speed_percent == self.speed_percent
        )
        return is_same and other.heard_s <= self.heard_s + REPEATED_MARGIN_S


@dataclass(slots=True)
class _Entry:
    known: KnownLoad
    #: Number of the change that brought the report.
    position: int
    #: Process that sent it; empty if it came from the endpoint.
    source: str


@dataclass(slots=True)
class _Sent:
    """Positions up to which a receiver has all reports."""

    own: int = 0
    others: int = 0


@dataclass(slots=True)
class LoadReports:
    """Newest report of each endpoint, by the key of its incarnation."""

    _entries: dict[str, _Entry] = field(default_factory=dict)
    _sent: dict[str, _Sent] = field(default_factory=dict)
    _position: int = 0

    def get(self, endpoint: str) -> KnownLoad | None:
        """Return the newest report of an endpoint.

        :param endpoint: key of the endpoint's incarnation.
        :returns: the report; ``None`` if none is known.
        """
        entry = self._entries.get(endpoint)
        return None if entry is None else entry.known

    def add(self, endpoint: str, known: KnownLoad, source: str = '') -> bool:
        """Adopt a report unless a newer one is known.

        :param endpoint: key of the endpoint's incarnation.
        :param known: the report.
        :param source: process that passed it on; empty if the endpoint sent it
            to this process.
        :returns: whether the report was adopted.
        """
        entry = self._entries.get(endpoint)
        if entry is not None and (
            known.heard_s <= entry.known.heard_s
            or (source and entry.known.is_repeated_by(known))
        ):
            return False
        self._position += 1
        self._entries[endpoint] = _Entry(known, self._position, source)
        return True

    def merge(
        self,
        reports: Iterable[EndpointLoadReport],
        source: str,
        now_s: float,
    ) -> list[str]:
        """Adopt the reports in a message; impossible ones are dropped.

        :param reports: reports with their ages.
        :param source: process that sent the message.
        :param now_s: monotonic time in seconds.
        :returns: keys of the endpoints with a newer report.
        """
        return [
            report.endpoint
            for report in reports
            if _is_possible(report)
            and self.add(report.endpoint, _known_load(report, now_s), source)
        ]

    def newest(
        self,
        now_s: float,
        sent: Mapping[str, float] | None = None,
        age_max_s: float = REPORT_TTL_S,
        count_max: int | None = None,
    ) -> tuple[EndpointLoadReport, ...]:
        """List the newest reports that another process lacks.

        :param now_s: monotonic time in seconds.
        :param sent: arrival times of the reports that it has sent, from
            :func:`heard_times`.
        :param age_max_s: age in seconds beyond which reports are left out.
        :param count_max: largest number of reports.
        :returns: the reports, newest first.
        """
        sent = sent or {}
        lacking = [
            (endpoint, entry.known)
            for endpoint, entry in self._entries.items()
            if now_s - entry.known.heard_s <= age_max_s
            and entry.known.heard_s > sent.get(endpoint, float('-inf'))
        ]
        lacking.sort(key=lambda pair: pair[1].heard_s, reverse=True)
        return tuple(
            _report(endpoint, known, now_s)
            for endpoint, known in lacking[:count_max]
        )

    def unsent(
        self,
        receiver: str,
        now_s: float,
        *,
        includes_others: bool = False,
    ) -> tuple[EndpointLoadReport, ...]:
        """List the reports that a receiver may lack, and mark them as sent.

        :param receiver: process that gets the message.
        :param now_s: monotonic time in seconds.
        :param includes_others: whether to list also reports that came from
            other processes than the receiver.
        :returns: reports that arrived since the last call for the receiver.
        """
        sent = self._sent.setdefault(receiver, _Sent())
        reports = tuple(
            _report(endpoint, entry.known, now_s)
            for endpoint, entry in self._entries.items()
            if now_s - entry.known.heard_s <= REPORT_TTL_S
            and _is_unsent(entry, sent, receiver, includes_others)
        )
        sent.own = self._position
        if includes_others:
            sent.others = self._position
        return reports

    def expire(self, now_s: float) -> None:
        """Drop the reports that are too old to be used.

        :param now_s: monotonic time in seconds.
        """
        for endpoint, entry in tuple(self._entries.items()):
            if now_s - entry.known.heard_s > REPORT_TTL_S:
                self._entries.pop(endpoint)

    def drop(self, endpoint: str) -> None:
        """Drop the report of an endpoint; no effect if it is unknown.

        :param endpoint: key of the endpoint's incarnation.
        """
        self._entries.pop(endpoint, None)


def heard_times(
    reports: Iterable[EndpointLoadReport], now_s: float
) -> dict[str, float]:
    """Compute when the reports in a message arrived at their sender.

    :param reports: reports with their ages.
    :param now_s: monotonic time in seconds at which the message arrived.
    :returns: monotonic time in seconds, by endpoint.
    """
    return {report.endpoint: now_s - report.age_ms / 1000 for report in reports}


def _is_unsent(
    entry: _Entry, sent: _Sent, receiver: str, includes_others: bool
) -> bool:
    if not entry.source:
        return entry.position > sent.own
    return (
        includes_others
        and entry.source != receiver
        and entry.position > sent.others
    )


def _is_possible(report: EndpointLoadReport) -> bool:
    return (
        bool(report.endpoint)
        and 0 <= report.age_ms <= REPORT_TTL_S * 1000
        and 0 <= report.count <= COUNT_MAX
        and 0 < report.speed_percent <= SPEED_MAX_PERCENT
    )


def _known_load(report: EndpointLoadReport, now_s: float) -> KnownLoad:
    return KnownLoad(
        count=report.count,
        speed_percent=report.speed_percent,
        heard_s=now_s - report.age_ms / 1000,
    )


def _report(
    endpoint: str, known: KnownLoad, now_s: float
) -> EndpointLoadReport:
    return EndpointLoadReport(
        endpoint=endpoint,
        count=known.count,
        speed_percent=known.speed_percent,
        age_ms=max(int((now_s - known.heard_s) * 1000), 0),
    )
