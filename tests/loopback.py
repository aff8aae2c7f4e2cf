"""Loopback addresses that only this test run uses.

Programs of the fleets and of the soak listen on fixed ports of addresses of
their own, for example for metrics. Two test runs on one machine must therefore
not share addresses.
"""

import functools
import socket

__all__ = ('network',)

#: Second octets of loopback addresses; each test run reserves one.
NETWORK_OCTETS = range(1, 255)
#: Port whose listener marks a network as in use until the process exits.
LOCK_PORT = 9463


@functools.cache
def network() -> str:
    """Reserve a loopback network for this process.

    :returns: the first two octets of its addresses, for example ``127.3``.
        Raises ``OSError`` if all networks are in use.
    """
    for octet in NETWORK_OCTETS:
        prefix = f'127.{octet}'
        if _lock(f'{prefix}.0.1') is not None:
            return prefix
    raise OSError('all loopback networks are in use')


@functools.cache
def _lock(host):
    """Listen on the lock port; the cache keeps the socket open."""
    lock = socket.socket()
    try:
        lock.bind((host, LOCK_PORT))
    except OSError:
        lock.close()
        return None
    lock.listen()
    return lock
