"""Gauge values of a cell for log lines and metrics."""

from __future__ import annotations

from coltsfootpier.cells._fleet import Fleet
from coltsfootpier.cells._jobs import JobTable


def measure_gauges(jobs: JobTable, fleet: Fleet) -> dict[str, int]:
    """Return the current values by name; ``cpu`` values are in thousandths of a core.

    Parameters
    ----------
    jobs : JobTable
        Jobs of the cell.
    fleet : Fleet
        Runners of the cell.
    """
    runners = [runner for runner in fleet.runners.values() if runner.is_registered]
    runs = [run for runner in runners for run in runner.runs.values()]
    waiting = [step for step in jobs.ready.values() if step.waiting]
    open_jobs = [job for job in jobs.jobs.values() if job.is_open]
    due_steps = [step for job in open_jobs for step in job.iter_steps()]
    due_tasks = sum(step.spec.count - step.done_count for step in due_steps)
    return {
        "jobs_open": len(open_jobs),
        "steps_due": len(due_steps),
        "tasks_due": due_tasks,
        "tasks_later": sum(job.open_task_count for job in open_jobs) - due_tasks,
        "job_bytes": jobs.memory.used_bytes,
        "job_bytes_scheduled": jobs.memory.scheduled_bytes,
        "job_bytes_max": jobs.memory.max_bytes,
        "waiting": sum(len(step.waiting) for step in waiting),
        "waiting_fill": sum(len(step.waiting) for step in waiting if step.spec.fills),
        "waiting_held": fleet.unanswered_starts.held_tasks,
        "held": fleet.unanswered_starts.held_count,
        "runs": len(runs),
        "slowed": sum(run.pace < 100 for run in runs),
        "runners": len(runners),
        "evacuated_zones": len(
            {runner.entry.availability_zone for runner in runners if runner.evacuated}
        ),
        "evacuated_runs": sum(len(runner.runs) for runner in runners if runner.evacuated),
        "runners_aside": sum(runner.on_probation for runner in runners),
        "runners_slow": sum(runner.is_slow for runner in runners),
        "cpu": sum(runner.entry.cpu_milli for runner in runners),
        "cpu_hard": sum(runner.guaranteed_cpu for runner in runners),
        "cpu_serving": sum(runner.serving_cpu for runner in runners),
        "cpu_fill": sum(runner.best_effort_cpu for runner in runners),
        "cpu_fill_used": round(sum(run.measured for run in runs if run.step.fills)),
        "dirty": jobs.dirty_count,
    }
