"""Queue of pending tasks, and the usage and guaranteed shares of teams."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from coltsfootpier.declaration import TaskSpec, Team
from coltsfootpier.placement import fits, subtract

Size = tuple[float, int, int]


@attrs.frozen
class QueueKey:
    """Key of pending tasks that are equivalent for scheduling.

    Parameters
    ----------
    resumed : bool
        Whether the tasks had earlier attempts; they precede new tasks of equal priority, so that
        evicted tasks don't queue behind a flood of new ones.
    avoid : tuple of str
        Workers on which the tasks failed and must not be retried.
    """

    team: str
    kind: str
    declared: str
    priority: int
    size: Size
    resumed: bool
    avoid: tuple[str, ...]


class TaskQueue:
    """Pending tasks grouped by `QueueKey`, in order of arrival within each group."""

    def __init__(self) -> None:
        self._tasks_by_key: dict[QueueKey, dict[str, float]] = {}
        self._key_by_task: dict[str, QueueKey] = {}

    def __bool__(self) -> bool:
        return bool(self._key_by_task)

    def __len__(self) -> int:
        return len(self._key_by_task)

    def add(self, task: str, key: QueueKey, now_ms: float) -> None:
        """Append a task to its group, or move it to the end if it is already queued."""
        self.remove(task)
        self._key_by_task[task] = key
        self._tasks_by_key.setdefault(key, {})[task] = now_ms

    def remove(self, task: str) -> None:
        """Remove a task if it is queued."""
        key = self._key_by_task.pop(task, None)
        if key is not None:
            tasks = self._tasks_by_key[key]
            del tasks[task]
            if not tasks:
                del self._tasks_by_key[key]

    def clear(self) -> None:
        """Remove all tasks."""
        self._tasks_by_key.clear()
        self._key_by_task.clear()

    def list_keys(self) -> list[QueueKey]:
        """Return the keys of all groups of pending tasks."""
        return list(self._tasks_by_key)

    def peek_oldest(self, key: QueueKey) -> tuple[str, float] | None:
        """Return the oldest pending task with a key and the time at which it was queued."""
        tasks = self._tasks_by_key.get(key)
        return next(iter(tasks.items())) if tasks else None


class TeamShares:
    """Usage and guaranteed share of each team.

    The cores of the fleet are divided by weight among the teams that have work (max-min
    fairness): cores that a team has no demand for are divided among the others. Capacity beyond
    the total demand is lent to any team up to its quota.
    """

    def __init__(self) -> None:
        self._teams: Mapping[str, Team] = {}
        self._used: dict[str, list[float]] = {}
        self._queued_cores: dict[str, float] = {}
        self._stopping_cores: dict[str, float] = {}
        self._guaranteed_cores: dict[str, float] = {}
        self._fleet_cores = 0.0

    def reset(self, teams: Mapping[str, Team]) -> None:
        """Reset to the teams of a declaration, without any usage."""
        self._teams = teams
        self._used = {name: [0.0, 0.0, 0.0] for name in teams}
        self._queued_cores = dict.fromkeys(teams, 0.0)
        self._stopping_cores = dict.fromkeys(teams, 0.0)
        self._guaranteed_cores = dict.fromkeys(teams, 0.0)

    def set_fleet_cores(self, cores: float) -> None:
        """Set the number of cores in the fleet."""
        self._fleet_cores = cores

    def charge(self, spec: TaskSpec, sign: int = 1) -> None:
        """Charge a task to its team, or remove the charge if `sign` is -1."""
        used = self._used[spec.team]
        for index, amount in enumerate(spec.size):
            used[index] += sign * amount

    def add_demand(self, spec: TaskSpec, sign: int = 1) -> None:
        """Add a pending task to its team's demand, or remove it if `sign` is -1."""
        self._queued_cores[spec.team] += sign * spec.cores

    def mark_stopping(self, spec: TaskSpec, sign: int = 1) -> None:
        """Mark a task as stopping, or remove the mark if `sign` is -1.

        A stopping task counts towards the quota until it has ended, but not towards the share.
        Otherwise further tasks of the team would be evicted while the first ones stop.
        """
        self._stopping_cores[spec.team] += sign * spec.cores

    def compute_guarantees(self) -> None:
        """Compute the guaranteed cores of each team for the current demand."""
        demand = {
            name: min(self._used[name][0] + self._queued_cores[name], team.cores)
            for name, team in self._teams.items()
        }
        names_by_demand = sorted(demand, key=lambda name: demand[name] / self._teams[name].weight)
        remaining = self._fleet_cores
        total_weight = sum(team.weight for team in self._teams.values())
        for name in names_by_demand:
            team_weight = self._teams[name].weight
            self._guaranteed_cores[name] = min(demand[name], remaining * team_weight / total_weight)
            remaining -= self._guaranteed_cores[name]
            total_weight -= team_weight

    def compute_relative_usage(self, team: str) -> float:
        """Return the cores of a team's tasks that aren't stopping, divided by the team's weight."""
        return self._get_cores_without_stopping(team) / self._teams[team].weight

    def is_below_guarantee(self, team: str) -> bool:
        """Return whether a team uses less than its guaranteed share."""
        return self._get_cores_without_stopping(team) < self._guaranteed_cores[team] - 1e-6

    def stays_within_guarantee_with(self, spec: TaskSpec) -> bool:
        """Return whether a task's team stays within its guaranteed share if the task is added."""
        return (
            self._get_cores_without_stopping(spec.team) + spec.cores
            <= self._guaranteed_cores[spec.team] + 1e-6
        )

    def keeps_guarantee_without(self, spec: TaskSpec) -> bool:
        """Return whether a task's team keeps its guaranteed share if the task is evicted."""
        return (
            self._get_cores_without_stopping(spec.team) - spec.cores
            >= self._guaranteed_cores[spec.team] - 1e-6
        )

    def _get_cores_without_stopping(self, team: str) -> float:
        return self._used[team][0] - self._stopping_cores[team]

    def is_within_quota(self, spec: TaskSpec) -> bool:
        """Return whether a task's team stays within its quota if the task is added."""
        team = self._teams[spec.team]
        used = self._used[spec.team]
        remaining = subtract(
            (team.cores, team.memory_mb, team.accelerators), (used[0], used[1], used[2])
        )
        return fits(spec.size, remaining)
