"""Times and limits of a daemon's tasks on the platform, in ms."""

from __future__ import annotations

# Time for one call of the store. A slow store answers in up to about 400 ms.
STORE_TIMEOUT_MS = 1_000.0
# Time for a read that a caller waits for while the store may be down.
STORE_READ_MS = 300.0
# Time after which a change without an answer is sent again, at first: the store answers in 4 ms,
# from another availability zone in 12 ms, and a lost packet comes again after 40 to 200 ms.
COMMIT_REPEAT_MS = 150.0
# The same as a multiple of the last answer's time, so that a slow store gets most changes once.
COMMIT_REPEAT_FACTOR = 1.5
# Longest wait of a watch, and time beyond it. Together well below the 2 s in which a
# configuration has to be in force, so that a silent watch is replaced in time.
WATCH_WAIT_MS = 800
# Pause after a failed call of the store.
STORE_BACKOFF_MS = 100.0
# Time to live of the owner's lease: bounds how long a cell has no owner after a power loss. Five
# renewals in a row may be lost; while the store loses a third of them, that happens once in about
# 700 periods. A renewal costs a tenth of another call.
OWNER_LEASE_MS = 1_300.0
OWNER_RENEW_MS = 200.0
# Time between readings of the registry; runners report every 1,500 ms and have to get nothing
# new 2,000 ms after they said that they leave.
REGISTRY_PERIOD_MS = 400.0
# Time for an answer of a runner; above the usual 10 ms and two retransmissions of 200 ms.
RUNNER_TIMEOUT_MS = 600.0
# Longest wait for a report: the tail latency in it covers the last 500 ms.
REPORT_WAIT_MS = 500
# Pause after a report that failed.
REPORT_BACKOFF_MS = 150.0
# Time for the service that approves runners; it takes a while for each runner named, and calls
# wait for one another.
ADVICE_TIMEOUT_MS = 2_000.0
# Time between two plans at least, so that one plan serves several events, and at most.
PLAN_MIN_MS = 10.0
PLAN_MAX_MS = 100.0
# Pause after a plan as a multiple of its duration: planning takes at most a third of the processor,
# so that reports, changes and callers are served under every load.
PLAN_REST = 2.0
# Time for one call of another daemon.
PEER_TIMEOUT_MS = 1_000.0
# Time that a request waits for an owner before it is refused.
OWNER_WAIT_MS = 900.0
# Time kept back from a caller's deadline for the answer's way.
ANSWER_RESERVE_MS = 100.0
# Time after SIGTERM in which new connections still arrive: the balancer takes two checks of 1 s.
DRAIN_MS = 2_600.0
# Time kept back from the platform's time limit after SIGTERM for the end of the process.
EXIT_RESERVE_MS = 1_000.0
# What a caller is told to wait when there is no owner or no store.
RETRY_SOON_MS = 1_000.0
# Time between two log lines with the cell's gauges.
SUMMARY_PERIOD_MS = 1_000.0
# Time between writings of what was learned, each along with another change. A pair of images shows
# in two or three reports of 500 ms, so the next owner has to learn little anew.
LEARNED_PERIOD_MS = 2_000.0
# Time between questions to an owner that is out of reach; half of the period of the balancer's
# checks, so that the daemon is ready again by the next one.
LOOK_PERIOD_MS = 500.0
# Time for one call about worker VMs; below the owner's lease, so that an order that was sent while
# the lease held has arrived or failed soon after it ended.
VM_TIMEOUT_MS = 1_000.0
# Time between listings of the worker VMs while a wave of upkeep isn't complete, and after an order,
# when what ran on the VM waits to be started elsewhere.
VM_LIST_PERIOD_MS = 500.0
VM_LIST_SOON_MS = 100.0
# Time between looks at the settings file, which may change without a signal.
SETTINGS_PERIOD_MS = 2_000.0
