"""What a run left behind: client records, journals and logs."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from rattanvalve.client_records import CallRecord, ProgramRecord, RunRecord
from rattanvalve.history_journal import ServerRun, index_runs
from rattanvalve.standins.journal import JournalLine, read_journal

__all__ = ('Evidence', 'read_evidence')


@dataclass(slots=True)
class Evidence:
    """Evidence for the history check.

    ``texts`` holds journals and logs as raw text by file name, and
    ``caller_keys`` the keys that must not occur in them.
    """

    run: RunRecord
    lines: list[JournalLine] = field(default_factory=list)
    texts: dict[str, str] = field(default_factory=dict)
    caller_keys: tuple[str, ...] = ()
    runs: dict[str, list[ServerRun]] = field(init=False)

    def __post_init__(self) -> None:
        """Index the journals."""
        self.runs = index_runs(self.lines)

    def calls(self) -> Iterator[tuple[ProgramRecord, CallRecord]]:
        """List all calls.

        :returns: each call with its program.
        """
        for program in self.run.programs:
            for call in program.calls:
                yield program, call


def read_evidence(
    run: RunRecord,
    folder: Path,
    caller_keys: tuple[str, ...],
) -> Evidence:
    """Read the journals and logs of a run.

    :param run: records of the clients.
    :param folder: folder with ``journals`` and ``logs``.
    :param caller_keys: keys that must not occur in them.
    :returns: evidence.
    """
    journals = sorted((folder / 'journals').glob('*.jsonl'))
    logs = sorted((folder / 'logs').glob('*.log'))
    return Evidence(
        run=run,
        lines=[line for path in journals for line in read_journal(path)],
        texts={
            path.name: path.read_text(errors='replace')
            for path in journals + logs
        },
        caller_keys=caller_keys,
    )
