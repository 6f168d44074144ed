"""Subcommand that rebuilds the runs of one task from the log lines of the entry VMs."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable, Iterator, Sequence

import attrs

from coltsfootpier.cli._exit_codes import ExitCode
from coltsfootpier.logs import format_event, parse_line
from coltsfootpier.transport import encode

# A task's name, or the name of one of its runs.
_TASK_PATTERN = re.compile(r"([^\s.#]+)\.(\d+)\.(\d+)\.(\d+)(?:#\d+)?")
# Time before the first and after the last line about a run within which lines about its runner
# and about owners are part of the history: the longest lease of a run on the platform.
_CONTEXT_MS = 10_000.0
# Lines have times in whole milliseconds, so events within this time may seem to be reversed.
_ROUNDING_MS = 2.0
# Lines by which a later owner knows that runs of earlier owners are gone that it never knew.
_RUNNER_PROOFS = {
    "runner responded": "absent_from_first_report",
    "runner restarted": "runner_restarted",
    "runner ended": "runner_unlisted",
    "runs ended with their VM": "vm_in_maintenance",
    "run leases expired": "lease_expired",
}
_RUNNER_EVENTS = frozenset(_RUNNER_PROOFS) | {
    "runner joined",
    "runner left the registry",
    "runner reachable again",
    "runner unreachable",
}
_OWNER_EVENTS = frozenset(
    {"fenced by a later owner", "owner stopping", "ownership begins", "ownership ended"}
)
_CONTEXT_EVENTS = _RUNNER_EVENTS | _OWNER_EVENTS | {"lines dropped"}
_CONTEXT_PATTERN = re.compile('event="(?:' + "|".join(sorted(_CONTEXT_EVENTS)) + ')"')
_COLUMNS = (
    ("run", "run"),
    ("runner", "runner"),
    ("born", "born"),
    ("generation", "generation"),
    ("sent", "sent_unix_ms"),
    ("deadline_ms", "deadline_ms"),
    ("sample_age_ms", "sample_age_ms"),
    ("outcome", "outcome"),
    ("lease_expiry", "lease_expiry_unix_ms"),
    ("freed", "freed_unix_ms"),
    ("proof", "proof"),
    ("end", "end"),
)


@attrs.frozen(kw_only=True)
class LogLine:
    """One parsed log line.

    Parameters
    ----------
    unix_ms : float
        Unix time of the line.
    event : str
        Name of the event.
    fields : dict of str to str
        All fields of the line.
    """

    unix_ms: float
    event: str
    fields: dict[str, str]

    def read_number(self, name: str) -> float | None:
        """Return the value of a numeric field; None if it is missing or not finite."""
        try:
            value = float(self.fields[name])
        except (KeyError, ValueError):
            return None
        return value if abs(value) < float("inf") else None


@attrs.define(kw_only=True)
class RunHistory:
    """What the log lines say about one run; None and empty text where they say nothing.

    Parameters
    ----------
    run : str
        Identifier of the run.
    runner : str
        Runner to which the start was sent, or on which the run was found.
    born : int or None
        Unix time in ms at which the runner's incarnation started.
    generation : int or None
        Generation of the owner that sent the start, or that knew the run first.
    listed_to : list of int
        Generations of later owners that found the run in a report.
    sent_unix_ms : float or None
        When the start was sent.
    deadline_ms : float or None
        Deadline of the start, on the runner's clock.
    sample_age_ms, sample_born : float or None, int or None
        Age of the clock sample from which the deadline was computed, and the incarnation that it
        is from.
    outcome : str
        Outcome of the start command.
    lease_expiry_unix_ms : float or None
        Time by which the owner assumed that the lease had expired, when it freed the task or else
        when the start had its outcome.
    freed_unix_ms, proof, end : float or None, str, str
        When the task was set free, what showed that the run was gone, and how the run ended.
    """

    run: str
    runner: str = ""
    born: int | None = None
    generation: int | None = None
    listed_to: list[int] = attrs.field(factory=list)
    sent_unix_ms: float | None = None
    deadline_ms: float | None = None
    sample_age_ms: float | None = None
    sample_born: int | None = None
    outcome: str = ""
    lease_expiry_unix_ms: float | None = None
    freed_unix_ms: float | None = None
    proof: str = ""
    end: str = ""


@attrs.frozen(kw_only=True)
class TaskHistory:
    """Runs of one task, in the order in which they were first logged.

    Parameters
    ----------
    task : str
        Name of the task.
    runs : list of RunHistory
        Its runs.
    warnings : list of str
        Where the lines show no proof between two runs, or are known to be incomplete.
    lines : list of LogLine
        Lines about the task, its runners and the owners, by time.
    """

    task: str
    runs: list[RunHistory]
    warnings: list[str]
    lines: list[LogLine]


def _parse(text: str) -> LogLine | None:
    try:
        fields = parse_line(text)
        return LogLine(unix_ms=float(fields["time"]) * 1000, event=fields["event"], fields=fields)
    except (KeyError, ValueError):
        return None


def build_history(texts: Iterable[str], task: str) -> TaskHistory:
    """Build the history of a task from log lines in any order.

    Parameters
    ----------
    texts : iterable of str
        Log lines of all entry VMs; other lines are ignored.
    task : str
        Name of the task: job, occurrence, step and index, separated by dots.
    """
    job, occurrence, step, _ = task.split(".")
    run_pattern = re.compile(re.escape(task) + r"#\d+")
    lines: list[LogLine] = []
    for text in texts:
        if job not in text and not _CONTEXT_PATTERN.search(text):
            continue
        line = _parse(text)
        if line is None:
            continue
        fields = line.fields
        if "run" in fields:
            is_relevant = run_pattern.fullmatch(fields["run"]) is not None
        else:
            is_relevant = line.event in _CONTEXT_EVENTS or (
                fields.get("job") == job
                and fields.get("step", step) == step
                and fields.get("occurrence", occurrence) == occurrence
            )
        if is_relevant:
            lines.append(line)
    lines.sort(key=lambda line: line.unix_ms)
    offsets = _find_clock_offsets(lines)
    runs = _collect_runs(lines, offsets)
    lines = _select_lines(lines)
    for run in runs:
        _apply_runner_proof(run, lines, offsets)
    return TaskHistory(task=task, runs=runs, warnings=_find_warnings(runs, lines), lines=lines)


def _find_clock_offsets(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the difference between Unix time and each owner's clock by its generation."""
    return {
        line.fields.get("generation", ""): line.unix_ms - clock_ms
        for line in lines
        if line.event == "ownership begins"
        and (clock_ms := line.read_number("clock_ms")) is not None
    }


def _select_lines(lines: list[LogLine]) -> list[LogLine]:
    """Return the lines without those about other runners, and about owners at other times."""
    of_runs = [line for line in lines if "run" in line.fields]
    if not of_runs:
        return [line for line in lines if line.event not in _CONTEXT_EVENTS]
    runners = {line.fields.get("runner") for line in of_runs}
    begin_ms = of_runs[0].unix_ms - _CONTEXT_MS
    end_ms = of_runs[-1].unix_ms + _CONTEXT_MS
    return [
        line
        for line in lines
        if line.event not in _CONTEXT_EVENTS
        or (
            begin_ms <= line.unix_ms <= end_ms
            and (line.event not in _RUNNER_EVENTS or line.fields.get("runner") in runners)
        )
    ]


def _collect_runs(lines: Iterable[LogLine], offsets: dict[str, float]) -> list[RunHistory]:
    runs: dict[str, RunHistory] = {}
    for line in lines:
        fields = line.fields
        if "run" not in fields:
            continue
        run = runs.setdefault(fields["run"], RunHistory(run=fields["run"]))
        generation = _read_integer(line, "generation")
        run.runner = run.runner or fields.get("runner", "")
        run.born = run.born or _read_integer(line, "born")
        run.generation = run.generation or generation
        if line.event == "start command outcome":
            # Without the owner's clock, the time of the outcome is an upper bound.
            run.sent_unix_ms = _read_owner_time(line, "sent_ms", offsets) or line.unix_ms
            run.deadline_ms = line.read_number("deadline_ms")
            run.sample_age_ms = line.read_number("sample_age_ms")
            run.sample_born = _read_integer(line, "sample_born")
            run.outcome = fields.get("outcome", "")
        elif line.event in ("run adopted", "unneeded run listed") and generation is not None:
            run.listed_to.append(generation)
        elif line.event == "unknown run ended":
            run.end = fields.get("outcome", "")
            if run.freed_unix_ms is None:
                run.freed_unix_ms = line.unix_ms
                run.proof = "end_listed"
        elif line.event == "task freed" and run.freed_unix_ms is None:
            run.freed_unix_ms = line.unix_ms
            run.proof = fields.get("proof", "")
            run.end = fields.get("outcome", "")
        else:
            continue
        _apply_lease_expiry(run, line, offsets)
    return list(runs.values())


def _apply_lease_expiry(run: RunHistory, line: LogLine, offsets: dict[str, float]) -> None:
    expiry_unix_ms = _read_owner_time(line, "lease_expiry_ms", offsets)
    if expiry_unix_ms is not None:
        run.lease_expiry_unix_ms = expiry_unix_ms


def _read_owner_time(line: LogLine, name: str, offsets: dict[str, float]) -> float | None:
    """Return the Unix time in ms of a field in the clock of the line's owner; None if unknown."""
    value = line.read_number(name)
    offset_ms = offsets.get(line.fields.get("generation", ""))
    return None if value is None or offset_ms is None else offset_ms + value


def _read_integer(line: LogLine, name: str) -> int | None:
    value = line.read_number(name)
    return None if value is None else int(value)


def _apply_runner_proof(
    run: RunHistory, lines: Iterable[LogLine], offsets: dict[str, float]
) -> None:
    """Set the proof of a run's end from lines about its runner if it came before any other."""
    if run.sent_unix_ms is None or run.generation is None:
        return
    for line in lines:
        if run.freed_unix_ms is not None and line.unix_ms >= run.freed_unix_ms:
            return
        generation = _read_integer(line, "generation")
        if (
            line.event in _RUNNER_PROOFS
            and line.fields.get("runner") == run.runner
            and line.unix_ms >= run.sent_unix_ms
            and generation is not None
            and generation > run.generation
            and generation not in run.listed_to
        ):
            run.freed_unix_ms = line.unix_ms
            run.proof = _RUNNER_PROOFS[line.event]
            _apply_lease_expiry(run, line, offsets)
            return


def _find_warnings(runs: list[RunHistory], lines: list[LogLine]) -> list[str]:
    started = [run for run in runs if run.sent_unix_ms is not None]
    warnings = [
        f"no line shows the end of {earlier.run} before {later.run} was sent"
        for later in started
        for earlier in runs
        if _may_overlap(earlier, later)
    ]
    warnings += [
        f"the deadline of {run.run} was computed on the clock of incarnation {run.sample_born}, "
        f"while the runner's known incarnation was {run.born}"
        for run in started
        if run.sample_born and run.born and run.sample_born != run.born
    ]
    for line in lines:
        if line.event == "unneeded run listed":
            warnings.append(
                f"{line.fields.get('runner')} listed {line.fields['run']}, "
                "which its owner didn't need any more"
            )
        elif line.event == "lines dropped":
            warnings.append(
                f"lines were dropped at {_format_time(line.unix_ms)}: {line.fields.get('counts')}"
            )
    return warnings


def _may_overlap(earlier: RunHistory, later: RunHistory) -> bool:
    """Return whether a run was sent after another one and before its end is shown."""
    if earlier is later or earlier.proof == "start_rejected":
        return False
    if earlier.sent_unix_ms is None:
        is_earlier = _get_attempt(earlier) < _get_attempt(later)
    else:
        is_earlier = earlier.sent_unix_ms < later.sent_unix_ms
    return is_earlier and (
        earlier.freed_unix_ms is None or earlier.freed_unix_ms > later.sent_unix_ms + _ROUNDING_MS
    )


def _get_attempt(run: RunHistory) -> int:
    return int(run.run.rsplit("#", 1)[1])


def _format_time(unix_ms: float) -> str:
    return f"{unix_ms / 1000:.3f}"


def _format_cell(name: str, value: object) -> str:
    if value is None or value == "":
        return "-"
    if name.endswith("_unix_ms"):
        return _format_time(value)
    if isinstance(value, float):
        return f"{value:.0f}"
    return f"#{value.rsplit('#', 1)[1]}" if name == "run" else str(value)


def format_history(history: TaskHistory) -> list[str]:
    """Format a history: a table of the runs, the warnings and the lines by time."""
    rows = [[title for title, _ in _COLUMNS]]
    rows += [
        [_format_cell(name, getattr(run, name)) for _, name in _COLUMNS] for run in history.runs
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    table = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    return [
        f"task {history.task}, runs: {len(history.runs)}",
        *table,
        *(f"warning: {warning}" for warning in history.warnings),
        *(format_event(line.fields) for line in history.lines),
    ]


def _read_lines(paths: Sequence[str]) -> Iterator[str]:
    """Iterate over the lines of files, or of standard input if there are none."""
    if not paths:
        yield from (line.decode("utf-8", "replace") for line in sys.stdin.buffer)
    for path in paths:
        with open(path, "rb") as stream:
            yield from (line.decode("utf-8", "replace") for line in stream)


def show(name: str, paths: Sequence[str], *, as_json: bool) -> ExitCode:
    """Print the history of a task from log files or standard input.

    Parameters
    ----------
    name : str
        Name of the task, or of one of its runs.
    paths : sequence of str
        Log files of the entry VMs; empty for standard input.
    as_json : bool
        Whether to print JSON.
    """
    if not _TASK_PATTERN.fullmatch(name):
        print(f"coltsfootpier: found {name!r}, allowed: JOB.OCCURRENCE.STEP.INDEX", file=sys.stderr)
        return ExitCode.USAGE
    try:
        history = build_history(_read_lines(paths), name.split("#")[0])
    except OSError as error:
        print(f"coltsfootpier: {error.filename}: {error.strerror}", file=sys.stderr)
        return ExitCode.FAILURE
    if not history.lines:
        print(f"coltsfootpier: no line is about task {history.task}", file=sys.stderr)
        return ExitCode.FAILURE
    print(encode(history).decode() if as_json else "\n".join(format_history(history)))
    return ExitCode.SUCCESS
