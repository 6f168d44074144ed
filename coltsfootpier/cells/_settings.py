"""Limits, times and weights of a cell's decisions."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class CellSettings:
    """Settings of a cell's decisions; times in ms.

    Parameters
    ----------
    run_lease_ms : float
        Time by which each contact extends the leases of the runs on a runner. Longer than a restart
        of all entry VMs (about 3 s), so that work survives it; shorter leases free the tasks of a
        partitioned runner sooner.
    max_run_lease_ms : float
        Longest lease of a runner; it shortens any deadline that lies further ahead.
    late_call_ms : float
        Time after which a call without a response is no longer executed by a runner.
    proof_validity_ms : float
        Time for which a confirmation of the store or of a runner proves that no later owner acts.
        Not shorter than the owner's lease, and longer than two report requests (500 ms each).
    lease_slack_ms : float
        Age of a proof up to which leases are extended by their whole length. An older one extends
        them by less, so that a successor counts the leases from the last proof. Longer than the
        time between two confirmations of the store.
    max_unconfirmed_ms : float
        Longest time since the last confirmation of the store for which more than half of the
        runners prove the ownership. Work goes on through an outage of the store for that long; a
        successor that reaches too few runners starts inherited tasks that much later.
    start_valid_ms : float
        Time after which a runner no longer executes a start command. Bounds how long an
        unanswered command keeps a task waiting.
    clock_drift : float
        Relative error of a runner's clock in either direction; 0.02 is the platform's bound.
    unix_clock_error_ms : float
        Bound of the difference between the Unix clocks of a runner and an entry VM; larger than the
        platform's steps of 2 s.
    contact_fresh_ms : float
        Age of the last report from which a runner gets no new runs. More than the longest wait
        for a report (500 ms) plus one lost response.
    suspect_after_ms : float
        Time without a report after which the platform's listing is checked for whether a runner is
        still live. More than the longest wait for a report (500 ms) plus its transfer.
    vm_retry_ms : float
        Time between listings for the VMs of runners that no listing has named yet.
    start_retry_ms : float
        Time after which an unanswered start command is sent once more; above the usual response
        time of a runner in another availability zone (10 ms) plus one retransmission (200 ms).
    max_start_retries : int
        Maximum number of times that a start command is sent once more before its run is stopped.
        With half of the commands unanswered, one task in 256 is stopped.
    stop_retry_ms : float
        Time between stop commands for a run that is still listed.
    check_period_ms : float
        Time between checks of all runs for expired leases, stalls and useful moves. A check takes
        3 ms on a large fleet, and the conditions that it detects take 400 ms or more to arise.
    fill_fit : float
        Share of a best-effort task's CPU demand that must be unused on a runner to place it there.
    stall_ms : float
        Time without progress after which a run is stopped and started elsewhere. Above the time to
        resume from a checkpoint (600 ms) plus the time a long task takes to progress by 1 percent.
    startup_ms : float
        Time that a long-running task may take to become ready before it counts as stalled.
    utilisation_limit : float
        Maximum utilisation of a serving task. Its tail latency reaches the target at about 0.83;
        the difference is reserved for a rise of its own load until the next report.
    pressure_caution : float
        Number of standard deviations that are added to an estimated interference.
    pace_hysteresis : float
        Utilisation that must remain when a pace is raised.
    harm_stop_ms : float
        Time over its target after which all best-effort runs beside a serving task are paused. The
        platform allows 4,000 ms; a report is up to 500 ms old, and a change shows in the tail
        latency after 600 ms.
    move_after_ms : float
        Time for which a best-effort run works at half speed or less before it is moved to a runner
        where it harms no serving task.
    make_room_after_ms : float
        Time for which a long-running task fits on no runner before another task is moved to free
        capacity. Short tasks that occupy the capacity end within that time.
    make_room_period_ms : float
        Time between two attempts to free capacity for one step, and between two moves of one step
        off cordoned runners; a moved task has started elsewhere by then.
    move_retry_ms : float
        Time between attempts to move one slowed run; each runner has a new measurement by then.
    moves_tried : int
        Maximum number of slowed runs that one plan tries to move; bounds the time of a plan.
    regroup_period_ms : float
        Time between attempts to move a serving run to free capacity for best-effort tasks; by
        then, the previous move has ended and shows in reports.
    regroup_gain_cpu : float
        Minimum capacity in thousandths of a core that such a move must free. A move costs a serving
        task about a second of its service, worth 1 to 2 core-seconds of batch work.
    regroup_targets : int
        Number of runners that one attempt examines; bounds its time to a few ms.
    aged_start_ms : float
        Time for which an accepted best-effort job has no run before one of its tasks starts where
        it interferes least. Below 3,000 ms, the longest time that an accepted job may go without a
        run while there is capacity, less the time of a lost start command and its repetition.
    max_preemptions : int
        Number of times that a task is stopped for tasks of more urgent queues. Each costs the time
        to resume from a checkpoint, and its job has about three times that in slack.
    preemptions_per_plan : int
        Maximum number of runs that one plan stops for urgent tasks; bounds the time of a plan.
    stop_wait_ms : float
        Time that a stopped run may take to end (`stop_grace_ms` of the platform). An urgent job
        with less slack can't be on time by a preemption.
    preempt_claim_ms : float
        Time for which an urgent task waits for the capacity that is freed for it before it is
        freed elsewhere: `stop_wait_ms` and one report (500 ms).
    long_running_yield_ms : float
        Time for which a long-running task that waits again goes after the urgent tasks of its
        priority. These end within that time, and it is a third of the time that an accepted
        long-running job may go without a run.
    advice_runners : int
        Maximum number of runners in one advice request; each adds to the response time.
    advice_retry_ms : float
        Time after which an unanswered advice request is repeated.
    pace_levels : tuple of int
        Percentages of its speed at which a best-effort task may run, from full speed down.
    suspect_failures : int
        Consecutive failed runs of different jobs after which a runner is quarantined.
    suspect_stalls : int
        Number of simultaneously stalled runs after which a runner is quarantined.
    aside_ms, aside_max_ms : float
        Duration of a runner's first quarantine, and its maximum after repeated failures.
    aside_share : float
        Maximum share of the runners that can serve a step that are quarantined or on probation at
        once. One is always allowed, but for the last one.
    long_run_success_ms : float
        Time at work after which a long-running run counts as a success of its runner. Shorter than
        the longest quarantine, so that a sound runner leaves its probation.
    admit_late : float
        A job is rejected when the expected time to its end exceeds this multiple of its
        objective. A result is of use to the caller up to three times the objective.
    reserve_deviations : float
        Standard deviations of the CPU demand of short jobs that long-running jobs leave free beside
        its mean. With 2, one urgent job in twenty finds less than it needs.
    long_running_retry_ms : float
        Retry delay of a long-running job that was rejected in favour of short ones. In a service of
        a hundred such jobs one ends about every second.
    max_open_tasks : int
        Maximum number of tasks that wait for runners, with those of a new job; bounds memory and
        the store's records.
    max_due_tasks : int
        Number of tasks of due occurrences of scheduled jobs from which a job with one occurrence
        begins no further one. At 53 starts a second, the highest rate that the system is made for,
        they last for 90 s.
    memory_mb : int
        Memory of the entry VM in MB; bounds the memory of jobs, see `JobMemory`.
    memory_retry_ms, scheduled_retry_ms : float
        Retry delay of a job that was rejected for the memory of jobs, without and with a schedule.
        A typical job has ended by then. A scheduled one ends at a time that only its caller knows,
        so its delay is the longest one.
    copy_gain_share : float
        Time by which a copy must be expected to end earlier than the run, as a share of the usual
        duration of the step's runs.
    copy_outlier_factor : float
        Multiple of the usual duration of the step's runs from which a run may get a copy.
    copy_undeclared_factor : float
        The same while too few runs of the step show their duration. Declared durations are off by
        a factor of 2.5.
    copy_start_ms : float
        Time from the decision on a copy to its start: a plan and the call to another availability
        zone.
    copy_unanswered_ms : float
        Time without a response to a start from which its task may get a copy; above the usual
        response time of a runner in another availability zone (10 ms) plus one retransmission
        (200 ms).
    copy_step_share : float
        Maximum number of copies of a step as a share of its tasks, at least one. With a sixth of
        the runners slow and three slow runs in a hundred, a step of ten tasks needs two.
    copy_share : float
        Maximum number of copies at once as a share of the runs of a service, at least one.
    copy_inspect_ms : float
        Time after the start of a speculative run from which a report shows whether it is much
        slower than its peers.
    copy_report_ms : float
        Shortest time between two reports that are requested earlier for that reason.
    slow_speed, fast_speed : float
        Speed of a run relative to its peers below which it counts as slow, and from which it shows
        that its runner isn't. Usual runs of a step differ by a tenth, slow ones by a factor of 5.
    slow_run_count : int
        Number of slow runs in a row that show that their runner is slow; one of two runs beside
        each other is slow in one case of sixteen for no reason of the runner.
    slow_expiry_ms : float
        Time without another slow run after which a runner no longer counts as slow. Without urgent
        tasks on it nothing shows its speed.
    tasks_retry_ms : float
        Retry delay of a job that was rejected because of `max_open_tasks`: a typical task has
        ended by then.
    """

    run_lease_ms: float = 4_000.0
    max_run_lease_ms: float = 10_000.0
    late_call_ms: float = 12_000.0
    proof_validity_ms: float = 1_500.0
    lease_slack_ms: float = 300.0
    max_unconfirmed_ms: float = 1_800_000.0
    start_valid_ms: float = 1_500.0
    clock_drift: float = 0.02
    unix_clock_error_ms: float = 5_000.0
    contact_fresh_ms: float = 1_300.0
    suspect_after_ms: float = 650.0
    vm_retry_ms: float = 2_000.0
    start_retry_ms: float = 400.0
    max_start_retries: int = 7
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
    aged_start_ms: float = 2_000.0
    max_preemptions: int = 2
    preemptions_per_plan: int = 64
    stop_wait_ms: float = 400.0
    preempt_claim_ms: float = 900.0
    long_running_yield_ms: float = 1_000.0
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
    long_run_success_ms: float = 3_000.0
    admit_late: float = 3.0
    reserve_deviations: float = 2.0
    long_running_retry_ms: float = 1_000.0
    max_open_tasks: int = 20_000
    max_due_tasks: int = 5_000
    memory_mb: int = 200
    memory_retry_ms: float = 1_000.0
    scheduled_retry_ms: float = 3_000.0
    copy_gain_share: float = 0.25
    copy_outlier_factor: float = 1.5
    copy_undeclared_factor: float = 3.0
    copy_start_ms: float = 30.0
    copy_unanswered_ms: float = 300.0
    copy_step_share: float = 0.3
    copy_share: float = 0.1
    copy_inspect_ms: float = 250.0
    copy_report_ms: float = 100.0
    slow_speed: float = 0.5
    fast_speed: float = 0.7
    slow_run_count: int = 2
    slow_expiry_ms: float = 4_000.0
    tasks_retry_ms: float = 1_000.0
