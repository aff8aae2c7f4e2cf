"""Resident size of entry and endpoint processes with their state."""

import json
import subprocess
import sys

__all__ = ('RESIDENT_HEADER', 'resident_rows')

RESIDENT_HEADER = ('process', 'stage', 'resident MB', 'growth MB')
#: Programs of one daemon that are kept: 8,600 requests/s in programs of 25
#: turns on average begin one program a second, kept for an hour of idleness,
#: besides the 353 in progress.
_PROGRAM_COUNT = 3_600 + 353
#: Attempts of one daemon: 25.3 requests/s for 600 s.
_ATTEMPT_COUNT = 15_180
#: Records of one endpoint process: 3.74 requests/s for 600 s.
_RECORD_COUNT = 2_243
_MEGABYTE = 1_000_000
_ARGUMENTS = (
    ('entry', str(_PROGRAM_COUNT), str(_ATTEMPT_COUNT)),
    ('endpoint', str(_RECORD_COUNT)),
)


def resident_rows() -> list[tuple[str, ...]]:
    """Measure one child of each role.

    :returns: role, stage, resident size and growth in megabytes.
    """
    rows = []
    for arguments in _ARGUMENTS:
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
    done = subprocess.run(
        (sys.executable, '-m', 'rattanvalve.capacity.child', *arguments),
        check=True,
        capture_output=True,
    )
    return json.loads(done.stdout)
