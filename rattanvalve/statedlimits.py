"""Parses the request rate limit that a server states in its responses."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ('StatedLimit', 'parse_stated_limit')

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
