"""Runs a program of the product with one mechanism deliberately broken.

The first arguments are the program and the name of the break.
"""

import os

from rattanvalve import endpoint_main, entry_main
from rattanvalve.cache_keeper import CacheKeeper
from rattanvalve.engine_client import EngineClient
from rattanvalve.ratelimit import Bucket
from rattanvalve.settling import Settler
from rattanvalve.shutdown import Shutdown
from tests.run_broken import run_broken


async def exit_at_once(self):
    """Exit without leaving the view or finishing open requests."""
    os._exit(0)


async def claim_not_run(self, attempt):
    """Report an attempt as not run without asking the endpoint."""
    return 'not_run'


async def release_nothing(self):
    """Release no cache."""


BREAKS = {
    'a stop drops requests': ((Shutdown, 'run', exit_at_once),),
    'rates are not counted': (
        (Bucket, 'wait_s', lambda *given: 0),
        (Bucket, 'take', lambda *given: True),
    ),
    'settling asks nobody': ((Settler, 'settle', claim_not_run),),
    'caches are kept': ((CacheKeeper, 'release_due', release_nothing),),
    'commands carry an old epoch': (
        (EngineClient, 'observe_epoch', lambda *given: None),
    ),
}
PROGRAMS = {'entry': entry_main.main, 'endpoint': endpoint_main.main}

if __name__ == '__main__':
    run_broken(PROGRAMS, BREAKS)
