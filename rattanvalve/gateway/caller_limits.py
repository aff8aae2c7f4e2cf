"""Limits of what callers may hold in a gateway, derived from its settings."""

import resource
from dataclasses import dataclass

from rattanvalve.sharedstate.rules import Limits

__all__ = (
    'CACHE_SHARE',
    'CallerLimits',
    'derive_limits',
    'head_bytes_max',
    'usable_descriptors',
)

#: Share of the memory limit for the turn cache.
CACHE_SHARE = 0.2
#: Memory of a gateway without callers: 35 to 47 MB on the deployments.
IDLE_BYTES = 48_000_000
#: Share of the remaining memory for connections and requests without bodies.
CONNECTION_SHARE = 0.4
#: Memory of a connection with a request in flight, and room for twice as much:
#: 900 of them took about 14 MB.
CONNECTION_BYTES = 32_000
#: Two copies of the largest body that the rules allow by default, and more.
HELD_BYTES_MIN = 12_000_000
#: Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Descriptors for peers, the object store and listeners.
PEER_DESCRIPTORS = 64
#: Descriptors of a caller: its connection and that of its endpoint.
CALLER_DESCRIPTORS = 2
#: Descriptors of connections that are accepted before others are closed. The
#: event loop accepts one connection of a listener at a time.
ACCEPTED_DESCRIPTORS = 64
CONNECTIONS_MIN = 16
PROBES_SHARE = 1 / 8
#: Fields count without the colon, the space and the line end on the wire, so
#: a head of legal size with names of one byte has five times as many bytes.
WIRE_FACTOR = 5


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of a process for all callers together.

    ``connections_max`` and ``probes_max`` bound the connections of the two
    listeners, ``held_bytes_max`` the bytes of heads, bodies and responses.
    """

    connections_max: int
    probes_max: int
    held_bytes_max: int


def derive_limits(memory_mb: float, descriptors_max: int) -> CallerLimits:
    """Derive the limits of a gateway from its settings.

    :param memory_mb: memory in megabytes at which the process is killed.
    :param descriptors_max: limit on open descriptors.
    :returns: limits that keep the process within both.
    """
    memory_bytes = memory_mb * 1_000_000
    free_bytes = max(memory_bytes * (1 - CACHE_SHARE) - IDLE_BYTES, 0)
    by_memory = free_bytes * CONNECTION_SHARE / CONNECTION_BYTES
    reserved = FILE_DESCRIPTORS + PEER_DESCRIPTORS + ACCEPTED_DESCRIPTORS
    by_descriptors = (descriptors_max - reserved) / CALLER_DESCRIPTORS
    count = max(int(min(by_memory, by_descriptors)), CONNECTIONS_MIN)
    probes_max = max(int(count * PROBES_SHARE), CONNECTIONS_MIN)
    held_bytes = int(free_bytes * (1 - CONNECTION_SHARE))
    return CallerLimits(
        connections_max=max(count - probes_max, CONNECTIONS_MIN),
        probes_max=probes_max,
        held_bytes_max=max(held_bytes, HELD_BYTES_MIN),
    )


def usable_descriptors(stated_max: int) -> int:
    """Return the number of descriptors that this process may open.

    :param stated_max: limit of the settings file; 0 if it states none.
    :returns: the lower one of this limit and that of the operating system.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(stated_max or soft_limit, soft_limit)


def head_bytes_max(limits: Limits, line_bytes: int) -> int:
    """Return the most bytes on the wire that a head of legal size can have.

    :param limits: limits of the rules.
    :param line_bytes: largest size of the request line in bytes.
    :returns: size in bytes above which an incomplete head is refused.
    """
    return limits.header_bytes * WIRE_FACTOR + line_bytes
