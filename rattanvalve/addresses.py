"""Network addresses of processes."""

from dataclasses import dataclass

__all__ = ('LISTEN_BACKLOG', 'Address')

#: Connections that the kernel keeps for a listener until it accepts them. A
#: peer whose connection does not fit tries again after a second.
LISTEN_BACKLOG = 512


@dataclass(frozen=True, slots=True)
class Address:
    """TCP address at which a process listens."""

    host: str
    port: int
