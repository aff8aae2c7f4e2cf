"""Command line of the program ``rattanvalve-turnstore``."""

import click

from rattanvalve import __version__
from rattanvalve.platform.programs import run_program

__all__ = ('main',)


@click.command()
@click.version_option(__version__, prog_name='rattanvalve-turnstore')
def main() -> None:
    """Keep turns, token ledgers and rate shares on a VM with a disk."""
    from rattanvalve.turnstore.process import TurnStoreProcess

    run_program(TurnStoreProcess)


if __name__ == '__main__':
    main()
