"""Listening sockets of a gateway.

The socket for callers may be opened before the program is loaded. To import
the whole program takes a second or more on a VM with a small share of a core.
Connections that arrive in this time wait in the queue of the socket instead of
being rejected. After all gateways ended together, there is no other gateway to
which the callers could turn.

This module imports nothing that takes long to load.
"""

import socket

from rattanvalve.addresses import LISTEN_BACKLOG, Address
from rattanvalve.platform.nodefile import NodeSettings

__all__ = ('open_caller_socket', 'open_listener')

#: Bytes that the kernel keeps of a caller that is not read; it doubles the
#: value. By default this grows to some megabytes for each connection.
RECEIVE_BUFFER_BYTES = 64 * 1024


def open_caller_socket(node: NodeSettings) -> socket.socket | None:
    """Listen at the address for callers if they compete for capacity.

    :param node: settings of this process.
    :returns: the listening socket; ``None`` if the gateway opens it later, as
        elsewhere callers are sooner served by another gateway.
    :raises OSError: if the address cannot be bound.
    """
    if node.callers is None or not node.has_contention:
        return None
    return open_listener(node.callers)


def open_listener(address: Address) -> socket.socket:
    """Open a socket that listens for callers or readiness probes.

    :param address: local address to bind.
    :returns: the listening socket.
    :raises OSError: if the address cannot be bound.
    """
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
