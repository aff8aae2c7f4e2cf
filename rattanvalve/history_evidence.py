"""Evidence of a run: client records, journals and logs."""

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

    ``lines`` holds the lines of all journals, ``texts`` the raw text of
    journals and logs by file name, and ``caller_keys`` the keys that must not
    occur in these texts. ``runs`` maps the identity of a call to its runs on
    servers.
    """

    run: RunRecord
    lines: list[JournalLine] = field(default_factory=list)
    texts: dict[str, str] = field(default_factory=dict)
    caller_keys: tuple[str, ...] = ()
    runs: dict[str, list[ServerRun]] = field(init=False)

    def __post_init__(self) -> None:
        """Group the journal lines into runs by call."""
        self.runs = index_runs(self.lines)

    def calls(self) -> Iterator[tuple[ProgramRecord, CallRecord]]:
        """Iterate over the calls of all programs.

        :returns: each call with its program, in the order of the records.
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
    :param folder: folder that contains the folders ``journals`` and ``logs``.
    :param caller_keys: keys that must not occur in journals and logs.
    :returns: evidence for the history check.
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
