"""Runs ``rattanvalve-endpoint``, with stubs for modules that do not exist."""

import importlib.util
import sys
from types import SimpleNamespace

from rattanvalve.endpoint_main import main

STUBS = {
    'rattanvalve.views': SimpleNamespace(
        owner_of=lambda view, workspace, shard: '',
        decode_view=None,
    ),
    'rattanvalve.confirmations': SimpleNamespace(
        LEASE_S=10,
        Confirmation=lambda: SimpleNamespace(age_s=lambda now_s: 0),
    ),
}

if __name__ == '__main__':
    for name, stub in STUBS.items():
        if importlib.util.find_spec(name) is None:
            sys.modules[name] = stub
    main()
