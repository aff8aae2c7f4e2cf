"""Runs a program that gets SIGTERM while it starts its service.

The first argument is the program, the second its signal handling: ``no hold``
lets signals through during the start, any other text blocks them. The others
are passed to the program.
"""

import importlib
import os
import signal
import sys

#: Main module, service module and service class of each program.
PROGRAMS = {
    'entry': ('entry_main', 'entry_process', 'EntryProcess'),
    'endpoint': ('endpoint_main', 'endpoint_process', 'EndpointProcess'),
}


def main(program, signal_handling):
    """Run the program; its service gets SIGTERM at the start."""
    main_name, module_name, service_name = PROGRAMS[program]
    module = importlib.import_module(f'rattanvalve.{module_name}')
    service = getattr(module, service_name)
    start = service.start

    async def start_after_signal(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await start(self)

    service.start = start_after_signal
    program_module = importlib.import_module(f'rattanvalve.{main_name}')
    if signal_handling == 'no hold':
        program_module.block_signals = bool
    program_module.main()


if __name__ == '__main__':
    main(sys.argv.pop(1), sys.argv.pop(1))
