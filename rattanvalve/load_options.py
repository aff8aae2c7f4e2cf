"""Command line options shared by several ``rattanvalve-load`` commands."""

from pathlib import Path

import click

from rattanvalve.scenario import bundled_scenarios

__all__ = ('folder_option', 'scenario_option')

scenario_option = click.option(
    '--scenario',
    'scenario_name',
    required=True,
    help=f'JSON file, or one of: {", ".join(bundled_scenarios())}.',
)
folder_option = click.option(
    '--folder',
    type=click.Path(file_okay=False, path_type=Path),
    help='Store run.json, keys.json, journals and logs in this folder.',
)
