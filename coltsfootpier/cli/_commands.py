"""Subcommands of the command-line tool that call a daemon or check a declaration."""

from __future__ import annotations

import secrets
import sys
from collections import Counter, defaultdict
from pathlib import Path

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.burn import format_report, render_html
from coltsfootpier.cli._exit_codes import ExitCode
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.declaration import Declaration, diff_declarations, parse
from coltsfootpier.operators import (
    ApplyReply,
    ApplyRequest,
    OperatorClient,
    OperatorError,
    StatusReply,
    TaskStatus,
)
from coltsfootpier.transport import encode

_POLL_MS = 200.0
_APPLY_EXIT_CODES = {
    "accepted": ExitCode.SUCCESS,
    "invalid": ExitCode.INVALID,
    "conflict": ExitCode.CONFLICT,
    "unavailable": ExitCode.FAILURE,
    "unknown": ExitCode.UNKNOWN,
}


@attrs.frozen(kw_only=True)
class Options:
    """Command-line options of the subcommands.

    Parameters
    ----------
    daemon : str
        ``IP:PORT`` at which a daemon listens for operators.
    json : bool
        Whether to print JSON.
    base : int or None
        Revision that an applied change is based on; None selects the revision in force.
    wait : bool
        Whether `apply` waits until the change is in force on all entry VMs.
    timeout_ms : float
        Maximum time of that wait.
    html : str
        File for the report as an HTML page; empty for none.
    """

    daemon: str
    json: bool
    base: int | None
    wait: bool
    timeout_ms: float
    html: str


def _print_json(message: object) -> None:
    print(encode(message).decode())


def _report_failure(reason: str, code: ExitCode = ExitCode.FAILURE) -> ExitCode:
    print(f"coltsfootpier: {reason}", file=sys.stderr)
    return code


def _read_file(path: str) -> Result[str, ExitCode]:
    try:
        return Success(Path(path).read_text())
    except OSError as error:
        return Failure(_report_failure(f"{path}: {error.strerror}"))
    except UnicodeDecodeError:
        return Failure(_report_failure(f"{path}: not UTF-8 text", ExitCode.INVALID))


def _parse_file(path: str) -> Result[tuple[str, Declaration], ExitCode]:
    content = _read_file(path)
    if isinstance(content, Failure):
        return content
    parsed = parse(content.unwrap(), source=path)
    if isinstance(parsed, Failure):
        for problem in parsed.failure():
            print(problem, file=sys.stderr)
        return Failure(ExitCode.INVALID)
    return Success((content.unwrap(), parsed.unwrap()))


def _build_client(options: Options) -> OperatorClient:
    return OperatorClient(address=options.daemon, clock=MonotonicClock())


async def validate(options: Options, path: str) -> int:
    """Check a declaration for errors."""
    parsed = _parse_file(path)
    if isinstance(parsed, Failure):
        return parsed.failure()
    declaration = parsed.unwrap()[1]
    counts = {
        "teams": len(declaration.teams),
        "services": len(declaration.services),
        "request_kinds": len(declaration.requests),
        "jobs": len(declaration.jobs),
    }
    if options.json:
        _print_json(counts)
    else:
        print(f"{path}: valid, " + ", ".join(f"{count} {name}" for name, count in counts.items()))
    return ExitCode.SUCCESS


async def diff(options: Options, path: str) -> int:
    """Print the differences between a declaration and the one in force."""
    parsed = _parse_file(path)
    if isinstance(parsed, Failure):
        return parsed.failure()
    config = await _build_client(options).read_config()
    if isinstance(config, Failure):
        return _report_failure(config.failure().reason)
    current = parse(config.unwrap().text, source=f"revision {config.unwrap().revision}")
    if isinstance(current, Failure):
        return _report_failure(
            "the declaration in force has keys that this release of the tool doesn't support"
        )
    lines = diff_declarations(current.unwrap(), parsed.unwrap()[1])
    if options.json:
        _print_json({"base": config.unwrap().revision, "changes": lines})
    else:
        print(f"against revision {config.unwrap().revision}:")
        print("\n".join(lines) or "no changes")
    return ExitCode.SUCCESS


async def apply(options: Options, path: str) -> int:
    """Apply a declaration and wait until it is in force on all entry VMs."""
    parsed = _parse_file(path)
    if isinstance(parsed, Failure):
        return parsed.failure()
    client = _build_client(options)
    base = options.base
    if base is None:
        config = await client.read_config()
        if isinstance(config, Failure):
            return _report_failure(config.failure().reason)
        base = config.unwrap().revision
    request = ApplyRequest(
        text=parsed.unwrap()[0], base=base, token=secrets.token_hex(8), source=path
    )
    applied = await client.apply(request)
    if isinstance(applied, Failure):
        error: OperatorError = applied.failure()
        code = ExitCode.UNKNOWN if error.unknown else ExitCode.FAILURE
        return _report_failure(f"{error.reason} (token {request.token})", code)
    reply = applied.unwrap()
    if reply.outcome != "accepted":
        return _report_rejection(options, reply, base)
    return await _wait_until_in_force(options, client, reply.revision)


def _report_rejection(options: Options, reply: ApplyReply, base: int) -> int:
    if options.json:
        _print_json(reply)
    elif reply.outcome == "conflict":
        _report_failure(
            f"conflict: revision {reply.revision} is in force, the change is based on {base}"
        )
    else:
        for problem in reply.problems:
            print(problem, file=sys.stderr)
        _report_failure(f"{reply.outcome} {reply.reason}".strip())
    return _APPLY_EXIT_CODES[reply.outcome]


async def _wait_until_in_force(options: Options, client: OperatorClient, revision: int) -> int:
    in_force = total = 0
    with anyio.move_on_after(options.timeout_ms / 1000):
        while True:
            result = await client.read_status()
            if isinstance(result, Success):
                vms = result.unwrap().entry_vms
                in_force = sum(vm.revision >= revision for vm in vms)
                total = len(vms)
                if sys.stderr.isatty():
                    progress = f"\rrevision {revision}: in force on {in_force} of {total} entry VMs"
                    print(progress, end="", file=sys.stderr)
                if in_force == total or not options.wait:
                    break
            await anyio.sleep(_POLL_MS / 1000)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    if options.json:
        _print_json({"revision": revision, "in_force": in_force, "entry_vms": total})
    else:
        print(f"revision {revision}: in force on {in_force} of {total} entry VMs")
    timed_out = options.wait and (in_force < total or not total)
    return ExitCode.TIMEOUT if timed_out else ExitCode.SUCCESS


async def status(options: Options) -> int:
    """Print the state of services, jobs, workers and entry VMs."""
    result = await _build_client(options).read_status()
    if isinstance(result, Failure):
        return _report_failure(result.failure().reason)
    reply = result.unwrap()
    if options.json:
        _print_json(reply)
        return ExitCode.SUCCESS
    print(f"revision {reply.revision}")
    for vm in reply.entry_vms:
        state = "reachable" if vm.reachable else "unreachable"
        print(f"entry VM {vm.name} ({vm.availability_zone}): revision {vm.revision}, {state}")
    if not reply.complete:
        return _report_failure("the dispatcher could not be queried; tasks and workers are missing")
    for line in _summarise_tasks(reply):
        print(line)
    for worker in sorted(reply.workers, key=lambda item: item.worker):
        print(
            f"worker {worker.worker}: {worker.free_cores:g} of {worker.cores:g} cores and "
            f"{worker.free_memory_mb} of {worker.memory_mb} MB free"
        )
    return ExitCode.SUCCESS


def _summarise_tasks(reply: StatusReply) -> list[str]:
    groups: dict[str, list[TaskStatus]] = defaultdict(list)
    for task in reply.tasks:
        groups[task.task.rsplit("/", 1)[0]].append(task)
    lines = []
    for name, tasks in sorted(groups.items()):
        counts = Counter(task.state for task in tasks)
        states = ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))
        reasons = sorted({task.reason for task in tasks if task.reason})
        lines.append(
            f"{name.replace('/', ' ')}: {states}" + "".join(f"; {reason}" for reason in reasons)
        )
    return lines


async def explain(options: Options, name: str) -> int:
    """Print where the tasks of a service or job are placed, or why they are not placed."""
    result = await _build_client(options).read_status()
    if isinstance(result, Failure):
        return _report_failure(result.failure().reason)
    reply = result.unwrap()
    if not reply.complete:
        return _report_failure("the dispatcher could not be queried")
    tasks = [task for task in reply.tasks if name in (task.task, task.task.split("/")[1])]
    if not tasks:
        return _report_failure(f"no service, job or task is called {name!r}")
    if options.json:
        _print_json(tasks)
        return ExitCode.SUCCESS
    for task in sorted(tasks, key=lambda item: item.task):
        place = f" on {task.worker} (rack {task.shard})" if task.worker else ""
        reason = f": {task.reason}" if task.reason else ""
        print(f"{task.task}: {task.state}{place}, attempt {task.attempt}{reason}")
    return ExitCode.SUCCESS


async def report(options: Options, name: str) -> int:
    """Print a report; ``burn`` is the only one."""
    if name != "burn":
        return _report_failure(f"unknown report {name!r}; the only report is burn", ExitCode.USAGE)
    result = await _build_client(options).read_burn()
    if isinstance(result, Failure):
        return _report_failure(result.failure().reason)
    if options.html:
        try:
            Path(options.html).write_text(render_html(result.unwrap()))
        except OSError as error:
            return _report_failure(f"{options.html}: {error.strerror}")
    if options.json:
        _print_json(result.unwrap())
    else:
        print(format_report(result.unwrap()))
    return ExitCode.SUCCESS
