"""Entries of the directory of endpoints, for tests of decisions."""

from rattanvalve.channels import Address
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('endpoint',)


def endpoint(name='app-1', born_ms=1, service='app'):
    """Create an endpoint with 4 slots."""
    return EndpointEntry(
        name=name,
        service=service,
        address=Address('127.0.0.1', 1),
        zone='z',
        slots=4,
        born_ms=born_ms,
    )
