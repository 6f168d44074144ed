"""Timeouts, periods and retry parameters of a daemon's tasks."""

from __future__ import annotations

# Time limit of one call to the store. A slow store responds in up to about 400 ms.
STORE_TIMEOUT_MS = 1_000.0
# Time limit of a read that a caller waits for while the store may be down.
STORE_READ_TIMEOUT_MS = 300.0
# Initial period after which a change without a response is sent again. The store responds in 4 ms,
# from another availability zone in 12 ms, and a lost packet is retransmitted after 40 to 200 ms.
COMMIT_RETRY_MS = 150.0
# Retry period as a multiple of the latest response time, so that a slow store gets most changes
# only once.
COMMIT_RETRY_FACTOR = 1.5
# Size of a change up to which its transfer takes no time that counts, in bytes, and the speed of
# the rest in bytes per ms: 4 Mbit/s, of the 5 that the smallest entry VMs have. A fleet record of
# 1,500 runners has 260 kB in base64; sent again each 150 ms, it would take the whole link.
FREE_CHANGE_BYTES = 16_000
CHANGE_BYTES_PER_MS = 500.0
# Long-poll time of a watch. Together with the time limit of a call it is below the 2 s in which a
# new configuration must take effect, so that an unresponsive watch is replaced in time.
WATCH_WAIT_MS = 800
# Pause after a failed call to the store.
STORE_BACKOFF_MS = 100.0
# Time to live of the owner's lease; it bounds how long a cell has no owner after a power loss. Five
# renewals in a row may be lost; while the store loses a third of them, that happens once in about
# 700 periods. A renewal is charged a tenth of any other call.
OWNER_LEASE_MS = 1_300.0
OWNER_RENEW_PERIOD_MS = 200.0
# Age of the latest proof of ownership after which the head record is read. Much less than a proof
# is valid, so that several reads in a row may be lost.
HEAD_READ_PERIOD_MS = 200.0
# Minimum time between two reads of the head record that requests are waiting for.
HEAD_READ_PAUSE_MS = 50.0
# Time that a request waits for such a read. Together with a read of a job record it is below the
# time limit of a request to another daemon.
HEAD_CONFIRM_TIMEOUT_MS = 600.0
# Time between reads of the registry. Runners report every 1,500 ms and must get no new run 2,000 ms
# after they announced that they leave.
REGISTRY_PERIOD_MS = 400.0
# Time after a change of owner from which new runners are used although fewer than half of the
# recorded ones have responded or ended; longer than a restart of all runners takes.
SETTLING_TIMEOUT_MS = 10_000.0
# Time limit of a call to a runner; covers the usual 10 ms and two retransmissions of 200 ms.
RUNNER_TIMEOUT_MS = 600.0
# Long-poll time of a report request. The tail latency in a report covers the last 500 ms.
REPORT_WAIT_MS = 500
# The same while an owner contacts more than `MAX_CONTACT_BATCH` other runners for the first time,
# whose leases end sooner. The report arrives before the runner counts as silent (1,300 ms).
CONTACT_REPORT_WAIT_MS = 900
# Time limit of a first contact meanwhile. The event loop takes several iterations for it, of up to
# 0.8 s with 1,500 runners, and a runner that is tried again takes as long once more.
CONTACT_TIMEOUT_MS = 1_500.0
# Pause between two report requests to a runner without runs. With one lost packet (200 ms), the
# next report arrives before the runner counts as silent (1,300 ms), and before its acceptance of
# the owner is too old to prove the ownership (1,500 ms).
IDLE_REPORT_PERIOD_MS = 900.0
# New runners that are contacted in one iteration of the event loop, and the duration of the last
# iteration that each of them beyond the minimum needs. A first contact takes 0.5 to 2.5 ms.
MIN_CONTACT_BATCH = 16
MAX_CONTACT_BATCH = 64
CONTACT_PAUSE_MS = 5.0
# Pause after a failed report request.
REPORT_BACKOFF_MS = 150.0
# Time from which a commit is followed by a report request although a runner's last ends aren't
# recorded yet: a backlog of changes delays no later end by more than that. Two changes of the store
# in another availability zone take less.
UNRECORDED_ENDS_WAIT_MS = 50.0
# Time between reports while a runner lists ends that can't be acknowledged yet because of a start
# without a response; the next end shows after at most that time.
HELD_ENDS_PERIOD_MS = 150.0
# Time between checks whether a later owner exists that one runner claims to know.
FENCE_CHECK_PERIOD_MS = 1_000.0
# Pause after an unexpected error in the task of a runner.
RUNNER_ERROR_PAUSE_MS = 1_000.0
# Time limit of a call to the service that approves runners. Its response time increases with the
# number of runners in the call, and it processes calls one at a time.
ADVICE_TIMEOUT_MS = 2_000.0
# Minimum time between two plans, so that one plan handles several events, and maximum time that the
# planner waits for an event before it plans again.
MIN_PLAN_PERIOD_MS = 10.0
MAX_PLAN_WAIT_MS = 100.0
# Pause after a plan as a multiple of its duration. It limits planning to a third of the CPU time,
# so that reports, changes and callers are served under any load.
PLAN_PAUSE_FACTOR = 2.0
# Time limit of one request to another daemon.
PEER_TIMEOUT_MS = 1_000.0
# Time that a new job waits for an owner before it is rejected.
OWNER_WAIT_TIMEOUT_MS = 900.0
# Part of a caller's remaining time that is reserved for sending the response.
RESPONSE_RESERVE_MS = 100.0
# Time after SIGTERM in which new connections still arrive: the load balancer stops sending callers
# after two failed checks, 1 s apart.
DRAIN_MS = 2_600.0
# Part of the platform's time limit after SIGTERM that is reserved for the exit of the process.
EXIT_RESERVE_MS = 1_000.0
# Retry delay given to a caller when there is no owner or no store.
DEFAULT_RETRY_AFTER_MS = 1_000.0
# Time between measurements of the event loop's delay, below the lease, so that each turn as long as
# the lease shows in full but for that time.
TURN_CHECK_PERIOD_MS = 250.0
# Time between two log lines with the cell's gauges.
SUMMARY_PERIOD_MS = 1_000.0
# Time between writes of the learned state; each is part of a change that is sent anyway. The
# interference of a pair of images is learned from two or three reports, 500 ms apart, so the next
# owner learns again the little that was not written.
LEARNED_PERIOD_MS = 2_000.0
# Time between checks whether the record for the next owner lacks a start without a response.
UNANSWERED_PERIOD_MS = 200.0
# Time from which a start whose call hasn't ended counts as without a response; a runner in another
# availability zone responds within 10 ms.
UNANSWERED_PENDING_MS = 100.0
# Time after which the record is written again because it lists starts that have been settled.
UNANSWERED_CLEARING_MS = 2_000.0
# Time between probes of an unresponsive owner; half of the load balancer's check period, so that
# the daemon is ready again by the next check.
PROBE_PERIOD_MS = 500.0
# Time limit of one call to the VM service.
VM_TIMEOUT_MS = 1_000.0
# Maximum age of the proof of ownership with which a command for a VM is sent. A later owner waits
# for this time, one call and the platform's pause before its first command for the same VM.
VM_PROOF_AGE_MS = 300.0
# Time between listings of the worker VMs while a maintenance wave isn't complete. The shorter time
# applies after a command, when tasks of the VM wait to be started elsewhere, and while a runner may
# have ended.
VM_LIST_PERIOD_MS = 500.0
VM_LIST_SHORT_PERIOD_MS = 100.0
# Time between checks of the settings file, which may change without a signal.
SETTINGS_PERIOD_MS = 2_000.0


def compute_transfer_ms(size: int) -> float:
    """Return the time in ms that a change of `size` bytes takes longer than a short one."""
    return max(0, size - FREE_CHANGE_BYTES) / CHANGE_BYTES_PER_MS
