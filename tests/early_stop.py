"""Runs a program that gets SIGTERM while it starts its service.

The first two arguments name the program and its handling of signals; the
others are those of the program.
"""

import importlib
import os
import signal
import sys

#: Module of the program, module and name of its service.
PROGRAMS = {
    'entry': ('entry_main', 'entry_process', 'EntryProcess'),
    'endpoint': ('endpoint_main', 'endpoint_process', 'EndpointProcess'),
}


def main(program, handling):
    """Run the program."""
    main_name, module_name, service_name = PROGRAMS[program]
    module = importlib.import_module(f'rattanvalve.{module_name}')
    service = getattr(module, service_name)
    start = service.start

    async def start_late(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await start(self)

    service.start = start_late
    program_module = importlib.import_module(f'rattanvalve.{main_name}')
    if handling == 'no hold':
        program_module.hold_signals = bool
    program_module.main()


if __name__ == '__main__':
    main(sys.argv.pop(1), sys.argv.pop(1))
