"""Parsing and validation of declarations."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from graphlib import CycleError, TopologicalSorter
from typing import Any

from returns.result import Failure, Result, Success

from coltsfootpier import _ini
from coltsfootpier.declaration._model import (
    PRIORITIES,
    Declaration,
    Job,
    RequestKind,
    Service,
    Team,
)
from coltsfootpier.exceptions import Problem

_DAY_S = 86_400

_SIZE_KEYS = (
    _ini.number("cores", minimum=0.01, maximum=1_000, integer=False, unit="cores"),
    _ini.number("memory_mb", minimum=1, maximum=10_000_000, unit="MB"),
    _ini.number("accelerators", minimum=0, maximum=1_000, default=0),
)
_PRIORITY = _ini.choice("priority", options=tuple(PRIORITIES), default="normal")
_DEPENDS_ON = _ini.words("depends_on", default=())

KEYS: dict[str, tuple[_ini.Key, ...]] = {
    "team": (
        _ini.number("weight", minimum=0.01, maximum=1_000, default=1.0, integer=False),
        _ini.number("cores", minimum=0, maximum=1_000_000, integer=False, unit="cores"),
        _ini.number("memory_mb", minimum=0, maximum=1_000_000_000, unit="MB"),
        _ini.number("accelerators", minimum=0, maximum=1_000_000, default=0),
    ),
    "service": (
        _ini.text("team"),
        _ini.number("runners", minimum=0, maximum=10_000),
        _ini.number("slots", minimum=1, maximum=1_000, default=8),
        _ini.number("connections", minimum=1, maximum=10_000, default=64),
        *_SIZE_KEYS,
        _ini.number("latency_ms", minimum=1, maximum=600_000, integer=False, unit="ms"),
        _ini.number("objective", minimum=0.5, maximum=0.99999, default=0.99, integer=False),
        _ini.choice("priority", options=tuple(PRIORITIES), default="high"),
        _DEPENDS_ON,
    ),
    "request": (
        _ini.flag("idempotent", default=True),
        _ini.flag("exclusive", default=False),
        _ini.number("max_run_ms", minimum=1, maximum=3_600_000, default=10_000.0, integer=False),
        _ini.number("weight", minimum=0.01, maximum=1_000, default=1.0, integer=False),
        _ini.number("guaranteed_share", minimum=0, maximum=1, default=0.0, integer=False),
        _PRIORITY,
    ),
    "job": (
        _ini.text("team"),
        _ini.number("tasks", minimum=1, maximum=10_000, default=1),
        *_SIZE_KEYS,
        _ini.number("run_time_s", minimum=0.01, maximum=30 * _DAY_S, integer=False, unit="s"),
        _PRIORITY,
        _ini.flag("checkpointing", default=True),
        _ini.number("every_s", minimum=0, maximum=30 * _DAY_S, default=0, integer=False, unit="s"),
        _DEPENDS_ON,
    ),
}


def parse(content: str, *, source: str = "text") -> Result[Declaration, tuple[Problem, ...]]:
    """Parse a declaration and validate it, also across its sections.

    Parameters
    ----------
    content : str
        INI text.
    source : str, default="text"
        File name used in error messages.

    Returns
    -------
    Result of Declaration or tuple of Problem
        The declaration, or every problem that was found; references between sections, quotas and
        shares are only validated if each section is valid.

    Examples
    --------
    >>> text = "[team a]" + chr(10) + "cores = 4" + chr(10) + "memory_mb = 100"
    >>> parse(text).unwrap().teams["a"].cores
    4.0
    """
    parsed = _ini.parse_sections(source, content)
    if isinstance(parsed, Failure):
        return parsed
    problems: list[Problem] = []
    sections: dict[str, dict[str, dict[str, Any]]] = {kind: {} for kind in KEYS}
    for section, raw_values in parsed.unwrap().items():
        kind, _, name = section.partition(" ")
        name = name.strip()
        if kind not in KEYS or not name:
            allowed = _ini.suggest(kind, (f"{known} NAME" for known in KEYS))
            problems.append(_build_problem(source, section, "", section, allowed))
            continue
        values, section_problems = _ini.convert_section(source, section, raw_values, KEYS[kind])
        problems += section_problems
        if not section_problems:
            sections[kind][name] = values
    if problems:
        return Failure(tuple(problems))
    declaration = _build_declaration(sections)
    problems += _validate(source, declaration)
    return Failure(tuple(problems)) if problems else Success(declaration)


def _build_problem(source: str, section: str, key: str, found: str, allowed: str) -> Problem:
    return Problem(source=source, section=section, key=key, found=found, allowed=allowed)


def _build_declaration(sections: Mapping[str, dict[str, dict[str, Any]]]) -> Declaration:
    requests = {}
    for name, values in sections["request"].items():
        service, _, request_kind = name.partition("/")
        requests[service, request_kind] = RequestKind(service=service, name=request_kind, **values)
    jobs = {}
    for name, values in sections["job"].items():
        other_values = {
            key: value for key, value in values.items() if key not in ("run_time_s", "every_s")
        }
        jobs[name] = Job(
            name=name,
            run_time_ms=values["run_time_s"] * 1000,
            every_ms=values["every_s"] * 1000,
            **other_values,
        )
    return Declaration(
        teams={name: Team(name=name, **values) for name, values in sections["team"].items()},
        services={
            name: Service(name=name, **values) for name, values in sections["service"].items()
        },
        requests=requests,
        jobs=jobs,
    )


def _validate(source: str, declaration: Declaration) -> Iterator[Problem]:
    yield from _check_names(source, declaration)
    yield from _check_dependencies(source, declaration)
    yield from _check_quotas(source, declaration)
    yield from _check_shares(source, declaration)


def _check_names(source: str, declaration: Declaration) -> Iterator[Problem]:
    for kind, items in (("service", declaration.services), ("job", declaration.jobs)):
        for item in items.values():
            if item.team not in declaration.teams:
                allowed = _ini.suggest(item.team, declaration.teams)
                yield _build_problem(source, f"{kind} {item.name}", "team", item.team, allowed)
    for name in declaration.services.keys() & declaration.jobs.keys():
        yield _build_problem(source, f"job {name}", "", name, "a name that no service has")
    for service, request_kind in declaration.requests:
        if service not in declaration.services or not request_kind:
            allowed = _ini.suggest(service, declaration.services) + " (request SERVICE/KIND)"
            yield _build_problem(source, f"request {service}/{request_kind}", "", service, allowed)


def _check_dependencies(source: str, declaration: Declaration) -> Iterator[Problem]:
    known_names = declaration.services.keys() | declaration.jobs.keys()
    graph: dict[str, tuple[str, ...]] = {}
    for kind, items in (("service", declaration.services), ("job", declaration.jobs)):
        for item in items.values():
            graph[item.name] = item.depends_on
            for name in item.depends_on:
                if name not in known_names:
                    allowed = _ini.suggest(name, known_names)
                    yield _build_problem(source, f"{kind} {item.name}", "depends_on", name, allowed)
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle = error.args[1]
        kind = "service" if cycle[0] in declaration.services else "job"
        # The cycle lists each item before those that depend on it; in the message, each arrow
        # points from an item to one that it depends on.
        found = " -> ".join(reversed(cycle))
        yield _build_problem(
            source, f"{kind} {cycle[0]}", "depends_on", found, "dependencies without a cycle"
        )


def _check_quotas(source: str, declaration: Declaration) -> Iterator[Problem]:
    # Services run all the time, so together they must fit within the quota. The tasks of jobs can
    # wait until others end, so only each single task must fit.
    for team in declaration.teams.values():
        services = [item for item in declaration.services.values() if item.team == team.name]
        jobs = [item for item in declaration.jobs.values() if item.team == team.name]
        for dimension in ("cores", "memory_mb", "accelerators"):
            quota = getattr(team, dimension)
            total = sum(getattr(item, dimension) * item.runners for item in services)
            if total > quota:
                allowed = f"at least {total:g}, which the team's services take"
                yield _build_problem(source, f"team {team.name}", dimension, f"{quota:g}", allowed)
            for job in jobs:
                if getattr(job, dimension) > quota:
                    allowed = f"at most the quota of team {team.name} ({quota:g})"
                    found = f"{getattr(job, dimension):g}"
                    yield _build_problem(source, f"job {job.name}", dimension, found, allowed)


def _check_shares(source: str, declaration: Declaration) -> Iterator[Problem]:
    for service in declaration.services:
        request_kinds = [kind for kind in declaration.requests.values() if kind.service == service]
        total = sum(kind.guaranteed_share for kind in request_kinds)
        if total > 1:
            allowed = "guaranteed shares of all request kinds that sum to at most 1"
            section = f"request {service}/{request_kinds[0].name}"
            yield _build_problem(source, section, "guaranteed_share", f"{total:g}", allowed)
