"""Seeds of randomised scenarios."""

import os


def soak_seeds(default_rounds=25):
    """List the seeds of this run.

    :param default_rounds: rounds without ``SOAK_ROUNDS``.
    :returns: consecutive seeds from ``SOAK_SEED`` (1 by default).
    """
    first = int(os.environ.get('SOAK_SEED', '1'))
    rounds = int(os.environ.get('SOAK_ROUNDS', str(default_rounds)))
    return range(first, first + rounds)
