"""Delta encoding of the shard owner's replies to the dispatcher."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coltsfootpier.placement._messages import AttemptState, ExchangeReply, WorkerCapacity


@attrs.frozen
class _Snapshot:
    states: dict[str, AttemptState] = attrs.field(factory=dict)
    workers: dict[str, WorkerCapacity] = attrs.field(factory=dict)


class ReplyDeltaEncoder:
    """Encoder of replies as the changes since the last reply that the dispatcher has received.

    A reply to a repeated sequence number is computed against the same confirmed reply as the
    first one, because the first one may have been lost.
    """

    def __init__(self) -> None:
        self._confirmed_snapshot = _Snapshot()
        self._sent_snapshot = _Snapshot()

    def confirm_last_reply(self) -> None:
        """Record that the dispatcher has received the last reply.

        To be called for each new sequence number, which the dispatcher sends only after that.
        """
        self._confirmed_snapshot = self._sent_snapshot

    def build_reply(
        self,
        reply: ExchangeReply,
        states: Iterable[AttemptState],
        workers: Iterable[WorkerCapacity],
    ) -> ExchangeReply:
        """Return `reply` with all states and workers if it is full, otherwise with the changes."""
        current = _Snapshot(
            {state.task: state for state in states},
            {worker.worker: worker for worker in workers},
        )
        self._sent_snapshot = current
        if reply.full:
            return attrs.evolve(
                reply,
                states=tuple(current.states.values()),
                workers=tuple(current.workers.values()),
            )
        previous = self._confirmed_snapshot
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
