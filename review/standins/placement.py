"""Program ids whose records the added store machines keep."""

import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from rattanvalve.rendezvous import rank  # noqa: E402

GROUP_SIZE = 3


def program_ids(prefix, present, added):
    """Yield ids that the product places on the added machines.

    With three machines and three added ones, this is one id in twenty.
    ``present`` and ``added`` are names of store machines.
    """
    for number in itertools.count():
        program = f'{prefix}-{number}'
        if set(rank(program, [*present, *added])[:GROUP_SIZE]) == set(added):
            yield program
