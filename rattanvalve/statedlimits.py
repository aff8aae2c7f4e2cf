"""Request rate limits that servers state in their responses."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = (
    'BURST_TIME_S',
    'KnownLimit',
    'StatedLimit',
    'kept_rate_per_s',
    'newest_limit',
    'parse_stated_limit',
)

#: Time whose tokens a bucket can hold, as requests do not arrive evenly.
BURST_TIME_S = 1.0
#: Rate at which a server that accepts no requests gets some nevertheless, as
#: only a response shows that its limit has changed.
RATE_MIN_PER_S = 0.1
#: ASCII digits only, as ``\d`` also matches the digits of other scripts. More
#: digits than this are no rate that a server could mean.
_RATE_PATTERN = re.compile(r'[0-9]{1,9}(?:\.[0-9]{1,9})?')


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What one response says about the limit of its server.

    ``rate_per_s`` is the number of requests per second that the server accepts
    from all callers together; ``None`` if it states no limit, or one that
    cannot be read.
    """

    rate_per_s: float | None = None
    is_malformed: bool = False


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """Newest statement of a server.

    ``rate_per_s`` is ``None`` after a response without a limit. ``heard_s`` is
    the monotonic time in seconds of the response.
    """

    rate_per_s: float | None
    heard_s: float


def parse_stated_limit(texts: Sequence[str]) -> StatedLimit:
    """Parse the values of all limit headers of one response.

    :param texts: values, in the order received; empty if there is no header.
    :returns: the limit; malformed unless there is at most one value and it is
        a decimal number without sign and exponent.
    """
    if not texts:
        return StatedLimit()
    text = texts[0].strip(' \t')
    if len(texts) > 1 or not _RATE_PATTERN.fullmatch(text):
        return StatedLimit(is_malformed=True)
    return StatedLimit(rate_per_s=float(text))


def kept_rate_per_s(rate_per_s: float) -> float:
    """Return the rate that is kept for a stated limit.

    :param rate_per_s: limit in requests per second; 0 if none are accepted.
    :returns: the limit, at least ``RATE_MIN_PER_S``.
    """
    return max(rate_per_s, RATE_MIN_PER_S)


def newest_limit(
    known: KnownLimit | None,
    stated: StatedLimit,
    sent_s: float,
    now_s: float,
) -> KnownLimit | None:
    """Combine what was known of a server with what a response states.

    :param known: newest statement before; ``None`` if there was none.
    :param stated: statement of the response.
    :param sent_s: monotonic time in seconds at which the request was sent.
    :param now_s: monotonic time in seconds.
    :returns: newest statement now. A response without a limit counts only if
        its request was sent after the limit was heard, as an earlier response
        may have been written before the server stated it.
    """
    if stated.is_malformed:
        return known
    if stated.rate_per_s is None and (known is None or sent_s <= known.heard_s):
        return known
    return KnownLimit(stated.rate_per_s, now_s)
