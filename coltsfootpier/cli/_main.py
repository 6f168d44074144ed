"""Command-line interface of ``coltsfootpier``."""

from __future__ import annotations

import sys
from collections.abc import Callable

import anyio
from absl import app, flags

from coltsfootpier.cli import _commands, _history, _store
from coltsfootpier.cli._exit_codes import ExitCode
from coltsfootpier.settings import parse_address

USAGE = """usage: coltsfootpier COMMAND [ARGUMENTS] [--daemon IP:PORT] [--store IP:PORT] [--json]

commands:
  validate FILE   check a declaration for errors
  diff FILE       show the differences between the declaration in force and a new one
  apply FILE      apply a declaration and wait until it is in force on all entry VMs
  status          show services, jobs, workers and entry VMs
  explain NAME    show where the tasks of a service or job run, or why they are not placed
  store           show the owner, jobs and runners recorded in the platform's store
  store ID        show the record of one job in the platform's store
  history TASK [FILE...]
                  show the runs of a task (JOB.OCCURRENCE.STEP.INDEX) and the proofs of their ends
                  from the logs of all entry VMs, read from files or standard input
  report burn     show error budgets, burn rates and the causes of spent budgets
                  (--html FILE writes a page with charts)

exit codes: 0 success, 1 failure, 2 usage, 3 invalid declaration, 4 conflict, 5 unknown outcome,
6 timed out waiting
"""

_FLAGS = flags.FLAGS
flags.DEFINE_string("daemon", "127.0.0.1:7003", "Operators' address of any daemon (IP:PORT).")
flags.DEFINE_string("store", "", "store: address of the platform's store (IP:PORT).")
flags.DEFINE_bool("json", False, "Print JSON.")
flags.DEFINE_integer("base", None, "apply: revision that the change is based on.", 0)
flags.DEFINE_bool("wait", True, "apply: wait until the change is in force on all entry VMs.")
flags.DEFINE_string("html", "", "report burn: file to write as an HTML page.")
flags.DEFINE_float("timeout", 30.0, "Seconds to wait.", 0.0)

_COMMANDS: dict[str, tuple[Callable, int]] = {
    "validate": (_commands.validate, 1),
    "diff": (_commands.diff, 1),
    "apply": (_commands.apply, 1),
    "status": (_commands.status, 0),
    "explain": (_commands.explain, 1),
    "report": (_commands.report, 1),
}


def _run_store(arguments: list[str]) -> int:
    try:
        parse_address(_FLAGS.store)
    except ValueError:
        print(f"coltsfootpier: --store: found {_FLAGS.store!r}, allowed: IP:PORT", file=sys.stderr)
        return ExitCode.USAGE
    timeout_ms = _FLAGS.timeout * 1_000
    return anyio.run(
        lambda: _store.show(_FLAGS.store, arguments, as_json=_FLAGS.json, timeout_ms=timeout_ms)
    )


def _run(arguments: list[str]) -> int:
    name, *rest = arguments[1:] or [""]
    if name == "store" and len(rest) <= 1:
        return _run_store(rest)
    if name == "history" and rest:
        return _history.show(rest[0], rest[1:], as_json=_FLAGS.json)
    command, argument_count = _COMMANDS.get(name, (None, 0))
    if command is None or len(rest) != argument_count:
        print(USAGE, end="", file=sys.stderr)
        return ExitCode.USAGE
    try:
        parse_address(_FLAGS.daemon)
    except ValueError:
        print(
            f"coltsfootpier: --daemon: found {_FLAGS.daemon!r}, allowed: IP:PORT", file=sys.stderr
        )
        return ExitCode.USAGE
    options = _commands.Options(
        daemon=_FLAGS.daemon,
        json=_FLAGS.json,
        base=_FLAGS.base,
        wait=_FLAGS.wait,
        timeout_ms=_FLAGS.timeout * 1000,
        html=_FLAGS.html,
    )
    return anyio.run(command, options, *rest)


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return _FLAGS(arguments)
    except flags.Error as error:
        print(f"coltsfootpier: {error}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def main() -> None:
    """Run the subcommand that the command line names."""
    app.run(_run, flags_parser=_parse_flags)
