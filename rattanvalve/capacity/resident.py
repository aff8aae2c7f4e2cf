"""Measures the resident size of entry and endpoint processes with state."""

import json
import subprocess
import sys

__all__ = ('RESIDENT_HEADER', 'resident_rows')

RESIDENT_HEADER = ('process', 'stage', 'resident MB', 'growth MB')
#: Programs that one entry process keeps. With 8,600 requests/s in programs of
#: 25 turns on average, one program starts per second and is kept until it is
#: idle for an hour (3,600 s); 353 more are in progress.
_PROGRAM_COUNT = 3_600 + 353
#: Attempts that one entry process keeps: 25.3 requests/s for 600 s.
_ATTEMPT_COUNT = 15_180
#: Records that one endpoint process keeps: 3.74 requests/s for 600 s.
_RECORD_COUNT = 2_243
_MEGABYTE = 1_000_000
_CHILD_ARGUMENTS = (
    ('entry', str(_PROGRAM_COUNT), str(_ATTEMPT_COUNT)),
    ('endpoint', str(_RECORD_COUNT)),
)


def resident_rows() -> list[tuple[str, ...]]:
    """Measure one child process of each role.

    :returns: role, stage, resident size and growth in megabytes.
    """
    rows = []
    for arguments in _CHILD_ARGUMENTS:
        before = 0
        for stage, size in _sizes(arguments).items():
            rows.append(
                (
                    arguments[0],
                    stage,
                    f'{size / _MEGABYTE:.1f}',
                    f'{(size - before) / _MEGABYTE:.1f}',
                ),
            )
            before = size
    return rows


def _sizes(arguments: tuple[str, ...]) -> dict[str, int]:
    completed = subprocess.run(
        (sys.executable, '-m', 'rattanvalve.capacity.child', *arguments),
        check=True,
        capture_output=True,
    )
    return json.loads(completed.stdout)
