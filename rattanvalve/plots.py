"""HTML page with plots of a comparison; needs matplotlib."""

import base64
import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rattanvalve.comparison import (
    RATIO_NAMES,
    MeasuredRun,
    comparison_table,
    policy_ratios,
)
from rattanvalve.errors import SettingsError

__all__ = ('import_pyplot', 'write_page')

_PAGE = """<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{title}</title>
<h1>{title}</h1>
<pre>{table}</pre>
{images}
</html>
"""
_IMAGE = '<img alt="{name}" src="data:image/png;base64,{data}">'


def import_pyplot() -> Any:
    """Import matplotlib on demand, because it is an optional dependency.

    :returns: ``matplotlib.pyplot`` with a backend that needs no display.
    :raises SettingsError: if matplotlib is not installed.
    """
    try:
        import matplotlib as mpl
    except ImportError as error:
        raise SettingsError(
            'the HTML page needs matplotlib, see requirements-dev.txt',
        ) from error
    mpl.use('Agg')
    from matplotlib import pyplot

    return pyplot


def write_page(path: Path, title: str, runs: Sequence[MeasuredRun]) -> None:
    """Write an HTML page with the comparison table and a plot per measure.

    :param path: file to write; an existing one is replaced.
    :param title: heading; HTML characters are escaped.
    :param runs: all runs; that of the first policy comes first.
    :raises SettingsError: if matplotlib is not installed.
    """
    pyplot = import_pyplot()
    images = [_plot(pyplot, name, runs) for name in RATIO_NAMES]
    path.write_text(
        _PAGE.format(
            title=html.escape(title),
            table=html.escape(comparison_table(runs)),
            images='\n'.join(images),
        ),
    )


def _plot(pyplot: Any, name: str, runs: Sequence[MeasuredRun]) -> str:
    policies = list(dict.fromkeys(run.policy for run in runs))
    samples = [
        [getattr(run.measures, name) for run in runs if run.policy == policy]
        for policy in policies
    ]
    ratios = [policy_ratios(runs, policy, name) for policy in policies]
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 3))
    _draw(axes[0], name, policies, samples)
    _draw(axes[1], 'ratio to the first policy', policies, ratios)
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format='png')
    pyplot.close(figure)
    encoded = base64.b64encode(out.getvalue()).decode()
    return _IMAGE.format(name=name, data=encoded)


def _draw(
    axes: Any,
    label: str,
    policies: list[str],
    samples: list[list[float]],
) -> None:
    for position, numbers in enumerate(samples):
        axes.plot([position for _ in numbers], numbers, 'o')
    axes.set_xticks(range(len(policies)), policies)
    axes.set_ylabel(label)
    axes.set_ylim(bottom=0)
