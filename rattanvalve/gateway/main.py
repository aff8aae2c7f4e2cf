"""Entry point of the command ``rattanvalve-gateway``."""

import click

from rattanvalve import __version__
from rattanvalve.gateway.caller_socket import open_caller_socket
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.programs import Program, run_program

__all__ = ('main',)


def _create(node: NodeSettings, peer_secret: bytes) -> Program:
    """Listen for callers, then load and create the gateway."""
    caller_socket = open_caller_socket(node)
    from rattanvalve.gateway.allocator import map_large_blocks
    from rattanvalve.gateway.process import GatewayProcess

    map_large_blocks()
    return GatewayProcess(node, peer_secret, caller_socket)


@click.command()
@click.version_option(__version__, prog_name='rattanvalve-gateway')
def main() -> None:
    """Take requests of callers on a VM that is reachable for them."""
    run_program(_create)


if __name__ == '__main__':
    main()
