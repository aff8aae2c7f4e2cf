"""Child processes of the demo and the load tool."""

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
    """A child process ended or did not become ready."""


@dataclass(slots=True)
class Children:
    """Processes started by this one, by name; only these are ever ended.

    ``log_folder`` receives one log file for each child; ``root`` is the
    checkout whose programs are started; ``environment`` is added to that of
    this process.
    """

    log_folder: Path
    running: dict[str, subprocess.Popen] = field(default_factory=dict)
    commands: dict[str, tuple[str, ...]] = field(default_factory=dict)
    root: Path = _ROOT
    environment: dict[str, str] = field(default_factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a program of this package.

        :param name: name of the child.
        :param module: module to run.
        :param arguments: command line arguments.
        """
        python_path = os.pathsep.join(
            filter(None, (str(self.root), os.environ.get('PYTHONPATH', ''))),
        )
        self.commands[name] = (module, *arguments)
        with (self.log_folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                (sys.executable, '-m', module, *arguments),
                # Python puts the current folder first on its path.
                cwd=self.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    **self.environment,
                    'PYTHONPATH': python_path,
                },
                # Ctrl-C in a terminal reaches only this process, which then
                # ends its children in order.
                start_new_session=True,
            )

    def restart(self, name: str) -> None:
        """Start a child that has ended, with the same command.

        :param name: name of the child.
        """
        self.start(name, *self.commands[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child.

        :param name: name of the child.
        :param number: signal, for instance SIGSTOP.
        """
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a child with SIGKILL.

        :param name: name of the child.
        """
        child = self.running.pop(name)
        child.kill()
        child.wait()

    def check_alive(self) -> None:
        """Look for children that ended by themselves.

        :raises ChildError: with the name and the exit code.
        """
        for name, child in self.running.items():
            code = child.poll()
            if code is not None:
                raise ChildError(f'{name} ended with code {code}')

    def stop_all(self, grace_s: float) -> list[str]:
        """End all children: SIGTERM, then SIGKILL after the grace period.

        It blocks, so that no cancellation can leave a child behind.

        :param grace_s: seconds to wait before SIGKILL.
        :returns: names of the children that needed SIGKILL.
        """
        self.terminate()
        deadline_s = time.monotonic() + grace_s
        while self.alive() and time.monotonic() < deadline_s:
            time.sleep(_POLL_S)
        late = self.alive()
        for name in late:
            self.running[name].kill()
        for child in self.running.values():
            child.wait()
        self.running.clear()
        return late

    def terminate(self) -> None:
        """Send SIGTERM to all children."""
        for child in self.running.values():
            with suppress(ProcessLookupError):
                child.send_signal(signal.SIGTERM)
                # A paused child handles SIGTERM only after SIGCONT.
                child.send_signal(signal.SIGCONT)

    def alive(self) -> list[str]:
        """List the children that have not ended.

        :returns: names.
        """
        return [
            name for name, child in self.running.items() if child.poll() is None
        ]
