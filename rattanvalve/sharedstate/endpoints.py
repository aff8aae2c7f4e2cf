"""Endpoints as they announce themselves."""

from dataclasses import dataclass

from rattanvalve.channels import Address

__all__ = ('EndpointEntry',)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server: its address and what it said of itself.

    ``born_ms`` is the Unix time of its start in milliseconds; a server that
    starts again may keep its name.
    """

    name: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool = False
    cold_ms: float = 0
    born_ms: int = 0

    @property
    def identity(self) -> tuple[str, Address, int]:
        """Give what tells this start of the server from any other.

        :returns: name, address and time of the start.
        """
        return self.name, self.address, self.born_ms
