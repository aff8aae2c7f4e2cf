"""Seeds of randomised scenarios."""

import os


def soak_seeds(default_rounds=25):
    """Return the seeds of this run.

    :param default_rounds: number of seeds if ``SOAK_ROUNDS`` is not set.
    :returns: consecutive seeds starting at ``SOAK_SEED`` (1 by default).
    """
    first = int(os.environ.get('SOAK_SEED', '1'))
    rounds = int(os.environ.get('SOAK_ROUNDS', str(default_rounds)))
    return range(first, first + rounds)
