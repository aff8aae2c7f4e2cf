"""Command line of the program ``rattanvalve-turnstore``."""

import click

from rattanvalve import __version__
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.programs import Program, run_program

__all__ = ('main',)


def _create(node: NodeSettings, peer_secret: bytes) -> Program:
    """Load and create the turn store."""
    from rattanvalve.turnstore.process import TurnStoreProcess

    return TurnStoreProcess(node, peer_secret)


@click.command()
@click.version_option(__version__, prog_name='rattanvalve-turnstore')
def main() -> None:
    """Keep turns, token ledgers and rate shares on a VM with a disk."""
    run_program(_create)


if __name__ == '__main__':
    main()
