"""Entries with which endpoints register themselves."""

from dataclasses import dataclass

from rattanvalve.channels import Address

__all__ = ('EndpointEntry',)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server: its address and the properties that it registered.

    ``born_ms`` is the Unix time of its start in milliseconds. It tells a
    restarted server from its predecessor, as both may have the same name.
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
        """Return the identity of this incarnation of the server.

        :returns: name, address and start time as Unix time in milliseconds.
        """
        return self.name, self.address, self.born_ms

    @property
    def key(self) -> str:
        """Return the identity as text, for messages between processes.

        :returns: name, address and start time, separated by slashes.
        """
        address = f'{self.address.host}:{self.address.port}'
        return f'{self.name}/{address}/{self.born_ms}'
