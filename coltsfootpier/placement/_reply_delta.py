"""Delta encoding of the shard owner's replies to the dispatcher."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coltsfootpier.placement._messages import AttemptState, ExchangeReply, WorkerCapacity


@attrs.frozen
class _Snapshot:
    states: dict[str, AttemptState] = attrs.field(factory=dict)
    workers: dict[str, WorkerCapacity] = attrs.field(factory=dict)


class ReplyDelta:
    """Difference between successive replies of a shard owner.

    Replies to a repeated sequence number are computed against the same confirmed reply as the
    first one, because the first one may have been lost.
    """

    def __init__(self) -> None:
        self._confirmed = _Snapshot()
        self._sent = _Snapshot()

    def confirm_last(self) -> None:
        """Record that the dispatcher has received the last reply.

        It sends the next sequence number only after that.
        """
        self._confirmed = self._sent

    def build_reply(
        self,
        reply: ExchangeReply,
        states: Iterable[AttemptState],
        workers: Iterable[WorkerCapacity],
    ) -> ExchangeReply:
        """Return `reply` with all states and workers, or with the changes if it isn't full."""
        current = _Snapshot(
            {state.task: state for state in states},
            {worker.worker: worker for worker in workers},
        )
        self._sent = current
        if reply.full:
            return attrs.evolve(
                reply,
                states=tuple(current.states.values()),
                workers=tuple(current.workers.values()),
            )
        previous = self._confirmed
        return attrs.evolve(
            reply,
            states=tuple(
                state
                for task, state in current.states.items()
                if _has_changed(previous.states.get(task), state)
            ),
            workers=tuple(
                worker
                for name, worker in current.workers.items()
                if previous.workers.get(name) != worker
            ),
            gone=tuple(previous.states.keys() - current.states.keys()),
            gone_workers=tuple(previous.workers.keys() - current.workers.keys()),
        )


def _has_changed(previous: AttemptState | None, current: AttemptState) -> bool:
    # The dispatcher extrapolates unsaved work while a task runs, so only a decrease, which means
    # a new checkpoint, has to be reported.
    return previous != current or current.unsaved_ms < previous.unsaved_ms
