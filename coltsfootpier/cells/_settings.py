"""Limits, times and weights of the decisions."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class CellSettings:
    """Settings of a cell's decisions; times in ms.

    Parameters
    ----------
    run_lease_ms : float
        Time for which each contact extends what runs on a runner. Longer than a restart of all
        entry VMs (about 3 s), so that work survives it; shorter leases free the tasks of a
        runner that is cut off sooner.
    start_valid_ms : float
        Time after which a runner no longer carries an order to start out. Bounds how long an
        order without an answer keeps a task waiting.
    clock_drift : float
        Share by which a runner's clock may be slow or fast; 0.02 is the platform's bound.
    contact_fresh_ms : float
        Age of the last report from which a runner gets nothing new. More than the longest wait
        for a report (500 ms) and one lost answer.
    suspect_after_ms : float
        Time without a report after which it is looked up whether a runner still lives. More than
        the longest wait for a report (500 ms) and its way.
    unsure_stop_ms : float
        Time after which a start without an answer is stopped; above the usual answer time of a
        runner in another availability zone (10 ms) and one retransmission (200 ms).
    stop_retry_ms : float
        Time between orders to stop a run that is still listed.
    check_period_ms : float
        Time between checks of all runs for lapses, stalls and moves. A check takes 3 ms at the
        grown sizes, and what it looks for takes 400 ms or more to come about.
    fill_fit : float
        Share of a filling task's demand that must be unused on a runner that takes it.
    stall_ms : float
        Time without progress after which a run is stopped and started elsewhere. Above the
        time to resume from a checkpoint (600 ms) plus the step of 1 percent of a long task.
    startup_ms : float
        Time that a long-running task may take to be at work before it counts as stalled.
    utilisation_limit : float
        Utilisation that a serving task is allowed. Its tail reaches the target at about 0.83; the
        rest is for the rise of its own load until the next report.
    pressure_caution : float
        Standard deviations that are added to a learned pressure.
    pace_hysteresis : float
        Utilisation that must be left over when a pace rises.
    harm_stop_ms : float
        Time over its target after which all filling runs beside a serving task stand still. The
        platform allows 4,000 ms; a report is up to 500 ms old, and a change shows in the tail
        after 600 ms.
    move_after_ms : float
        Time for which a filling run works at half speed or less before it is moved to a runner
        where it harms nobody.
    make_room_after_ms : float
        Time for which a long-running task finds no runner before another one is moved to make
        room. Short tasks that take the room end within that time.
    make_room_period_ms : float
        Time between two such attempts for one step: a moved task has started elsewhere by then.
    move_retry_ms : float
        Time between attempts to move one slowed run; each runner is measured anew within it.
    moves_tried : int
        Slowed runs that one plan tries to move at most; bounds the time of a plan.
    regroup_period_ms : float
        Time between attempts to move a serving run so that filling tasks find more room; a move
        has ended and shows in reports by then.
    regroup_gain_cpu : float
        Least room in thousandths of a core that such a move has to make. A move costs a serving
        task about a second of its service, worth 1 to 2 core-seconds of batch work.
    regroup_targets : int
        Runners that one attempt looks at; bounds its time to a few ms.
    advice_runners : int
        Runners named in one question for advice; each lengthens its answer.
    advice_retry_ms : float
        Time after which a question without an answer is asked again.
    pace_levels : tuple of int
        Percentages that a filling task may work at, from full speed down.
    suspect_failures : int
        Failed runs of different jobs in a row, without a success, that set a runner aside.
    suspect_stalls : int
        Stalled runs at once that set a runner aside.
    aside_ms, aside_max_ms : float
        Time for which a runner is set aside at first, and at most after repeated evidence.
    aside_share : float
        Largest share of the runners of a service that is set aside at once.
    admit_late : float
        A job is refused when the expected time to its end is beyond this multiple of its
        objective. An answer is of use to the caller up to three times the objective.
    max_open_tasks : int
        Tasks of accepted jobs that a cell keeps at once; bounds memory and the store's records.
    tasks_retry_ms : float
        When a job that was refused for this bound may come again: a usual task has ended then.
    """

    run_lease_ms: float = 4_000.0
    start_valid_ms: float = 1_500.0
    clock_drift: float = 0.02
    contact_fresh_ms: float = 1_300.0
    suspect_after_ms: float = 650.0
    unsure_stop_ms: float = 400.0
    stop_retry_ms: float = 500.0
    check_period_ms: float = 50.0
    fill_fit: float = 0.7
    stall_ms: float = 1_800.0
    startup_ms: float = 5_000.0
    utilisation_limit: float = 0.78
    pressure_caution: float = 0.5
    pace_hysteresis: float = 0.03
    harm_stop_ms: float = 2_000.0
    move_after_ms: float = 700.0
    move_retry_ms: float = 500.0
    moves_tried: int = 8
    regroup_period_ms: float = 500.0
    regroup_gain_cpu: float = 1_000.0
    regroup_targets: int = 24
    advice_runners: int = 30
    advice_retry_ms: float = 2_000.0
    make_room_after_ms: float = 1_000.0
    make_room_period_ms: float = 500.0
    pace_levels: tuple[int, ...] = (100, 70, 45, 25, 10)
    suspect_failures: int = 3
    suspect_stalls: int = 2
    aside_ms: float = 3_000.0
    aside_max_ms: float = 20_000.0
    aside_share: float = 0.34
    admit_late: float = 3.0
    max_open_tasks: int = 20_000
    tasks_retry_ms: float = 1_000.0
