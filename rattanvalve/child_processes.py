"""Starts, signals and stops child processes of the demo and the load tool."""

import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from rattanvalve.errors import RattanvalveError

__all__ = ('ChildError', 'Children')

_ROOT = Path(__file__).resolve().parent.parent
_POLL_S = 0.02


class ChildError(RattanvalveError):
    """A child process exited unexpectedly or did not become ready in time."""


@dataclass(slots=True)
class Children:
    """Child processes of this process by name; no other process is signalled.

    ``log_folder`` receives one log file for each child; ``root`` is the
    checkout from which modules are run; ``environment`` holds variables that
    are added to those of this process.
    """

    log_folder: Path
    running: dict[str, subprocess.Popen] = field(default_factory=dict)
    commands: dict[str, tuple[str, ...]] = field(default_factory=dict)
    root: Path = _ROOT
    environment: dict[str, str] = field(default_factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a child process.

        :param name: name of the child; its log file is ``<name>.log``, to
            which a restarted child appends.
        :param module: module that ``python -m`` runs.
        :param arguments: command line arguments.
        """
        python_path = os.pathsep.join(
            filter(None, (str(self.root), os.environ.get('PYTHONPATH', ''))),
        )
        self.commands[name] = (module, *arguments)
        with (self.log_folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                (sys.executable, '-m', module, *arguments),
                # `python -m` puts the current folder first on sys.path.
                cwd=self.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    **self.environment,
                    'PYTHONPATH': python_path,
                },
                # In a session of their own, children get no SIGINT from
                # Ctrl-C; this process stops them in an orderly way.
                start_new_session=True,
            )

    def restart(self, name: str) -> None:
        """Start a child that has ended again, with the same command.

        :param name: name of the child.
        """
        self.start(name, *self.commands[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child.

        :param name: name of the child.
        :param number: signal, for example SIGSTOP.
        """
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a child with SIGKILL and wait until it has exited.

        :param name: name of the child.
        """
        child = self.running.pop(name)
        child.kill()
        child.wait()

    def check_alive(self) -> None:
        """Check that no running child has exited by itself.

        :raises ChildError: if one has; contains its name and exit code.
        """
        for name, child in self.running.items():
            code = child.poll()
            if code is not None:
                raise ChildError(f'{name} exited with code {code}')

    def stop_all(self, grace_s: float) -> list[str]:
        """Stop all children: SIGTERM, then SIGKILL after the grace period.

        Blocks the event loop, so that a cancellation cannot interrupt it and
        leave children running.

        :param grace_s: seconds between SIGTERM and SIGKILL.
        :returns: names of the children that were killed with SIGKILL.
        """
        self.terminate()
        deadline_s = time.monotonic() + grace_s
        while self.alive() and time.monotonic() < deadline_s:
            time.sleep(_POLL_S)
        killed = self.alive()
        for name in killed:
            self.running[name].kill()
        for child in self.running.values():
            child.wait()
        self.running.clear()
        return killed

    def terminate(self) -> None:
        """Send SIGTERM to all children without waiting for their exit."""
        for child in self.running.values():
            with suppress(ProcessLookupError):
                child.send_signal(signal.SIGTERM)
                # A child stopped by SIGSTOP handles SIGTERM only after
                # SIGCONT.
                child.send_signal(signal.SIGCONT)

    def alive(self) -> list[str]:
        """Return the children that have not exited.

        :returns: names in order of their start.
        """
        return [
            name for name, child in self.running.items() if child.poll() is None
        ]
