"""Event loop on a virtual clock; its hosts have their own clocks and can be frozen.

True time is the virtual time of the loop. The local time of a host runs at a different rate and
from a different origin.
"""

from __future__ import annotations

import asyncio
import contextvars
import gc
import selectors
import warnings
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

# Added to the time of each timer. Without it, rounding in the conversion between two clocks could
# make a timer fire too early; it would then be set again for the same time in an endless loop.
_ROUNDING_MARGIN_S = 1e-6

_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


def get_current_host_name() -> str:
    """Return the name of the host to which the current callback belongs; empty for none."""
    host = _HOST.get()
    return "" if host is None else host.name


@attrs.define(eq=False)
class Host:
    """Process with its own clock.

    Parameters
    ----------
    name : str
        Name of the host in the trace.
    rate : float
        Seconds of local time per second of true time.
    origin_s : float
        Local time at true time zero.
    frozen : bool
        Whether its callbacks are deferred; its clock continues to run.
    dead : bool
        Whether its callbacks are dropped permanently, without any cleanup.
    freeze_at_send_s : float
        Seconds for which the host freezes when it next sends a message; 0 for none.
    pending_callbacks : list of asyncio.Handle
        Callbacks deferred while the host is frozen.
    """

    name: str
    rate: float = 1.0
    origin_s: float = 0.0
    frozen: bool = False
    dead: bool = False
    freeze_at_send_s: float = 0.0
    pending_callbacks: list[asyncio.Handle] = attrs.field(factory=list)

    def make_context(self) -> contextvars.Context:
        """Return a context whose callbacks belong to this host."""
        context = contextvars.Context()
        context.run(_HOST.set, self)
        return context


class HostClock:
    """Implementation of the project's clock interface for one host.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop that provides the true time.
    host : Host
        Host whose local time is returned.
    """

    def __init__(self, *, loop: VirtualLoop, host: Host) -> None:
        self._loop = loop
        self._host = host

    def now_ms(self) -> float:
        """Return the local time in milliseconds."""
        return (self._host.origin_s + self._host.rate * self._loop.true_s) * 1000


class _Selector(selectors.SelectSelector):
    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("no callback or timer is left to run")
        self.loop.true_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs callbacks in order of virtual time, without waiting.

    A callback belongs to the host that is set in its context, which tasks inherit.

    Attributes
    ----------
    true_s : float
        Current true time in s.
    callback_count : int
        Number of callbacks so far; equal in two runs of the same seed.
    started_tasks : list of asyncio.Task
        References to the tasks that were started.
    """

    def __init__(self) -> None:
        self.true_s = 0.0
        self.callback_count = 0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        # Keeps the pending tasks of killed hosts alive, since garbage collection would run their
        # cleanup code.
        self.started_tasks: list[asyncio.Task] = []
        self.set_exception_handler(lambda *_: None)

    def time(self) -> float:
        """Return the local time of the current host in seconds; true time outside of hosts."""
        host = _HOST.get()
        return self.true_s if host is None else host.origin_s + host.rate * self.true_s

    def call_soon(self, callback: Callable, *args: Any, context: Any = None) -> asyncio.Handle:
        """Run a callback in the next iteration, or once its frozen host resumes.

        Callbacks of dead hosts are dropped.
        """
        self.callback_count += 1
        host = _HOST.get() if context is None else context.get(_HOST)
        if host is None or not (host.frozen or host.dead):
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        if not host.dead:
            host.pending_callbacks.append(handle)
        return handle

    def call_at(
        self, when: float, callback: Callable, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a local time of its host, in seconds."""
        host = _HOST.get() if context is None else context.get(_HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        when = (when - host.origin_s) / host.rate + _ROUNDING_MARGIN_S
        created_timers: list[asyncio.TimerHandle] = []

        def run_unless_cancelled() -> None:
            if not created_timers[0].cancelled():
                callback(*args)

        def run_or_defer() -> None:
            self.callback_count += 1
            if host.frozen:
                host.pending_callbacks.append(
                    asyncio.Handle(run_unless_cancelled, (), self, context)
                )
            elif not host.dead:
                callback(*args)

        created_timers.append(super().call_at(when, run_or_defer, context=context))
        return created_timers[0]

    def call_after(self, delay_s: float, callback: Callable[[], object]) -> None:
        """Run a callback that belongs to no host after `delay_s` seconds of true time."""
        context = contextvars.Context()
        super().call_at(self.true_s + delay_s, callback, context=context)

    def start(self, host: Host | None, coroutine: Coroutine) -> asyncio.Task:
        """Start a task that belongs to a host, or to none."""
        context = contextvars.Context() if host is None else host.make_context()
        task = self.create_task(coroutine, context=context)
        self.started_tasks.append(task)
        if len(self.started_tasks) > 5_000:
            self.started_tasks = [item for item in self.started_tasks if not item.done()]
        return task

    def freeze(self, host: Host, duration_s: float) -> None:
        """Freeze a host for `duration_s` seconds of true time; its callbacks are deferred."""
        if host.frozen or host.dead:
            return
        host.frozen = True
        self.call_after(duration_s, lambda: self.unfreeze(host))

    def unfreeze(self, host: Host) -> None:
        """Resume a frozen host and run its deferred callbacks."""
        host.frozen = False
        pending_callbacks, host.pending_callbacks = host.pending_callbacks, []
        if not host.dead:
            self._ready.extend(pending_callbacks)


def discard_loop(loop: VirtualLoop) -> None:
    """Close a loop and drop its pending tasks without warnings and without resuming them."""
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", ResourceWarning)
        for task in loop.started_tasks:
            task._log_destroy_pending = False
        loop.started_tasks.clear()
        loop.close()
        gc.collect()
