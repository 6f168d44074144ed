"""Record of starts without a response, which the next owner loads.

Its task must not start elsewhere while the runner may still carry out such a start.
"""

from __future__ import annotations

from typing import Protocol

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import InheritedStart, RunId, UnansweredStarts
from coltsfootpier.clock import Clock
from coltsfootpier.jobs import TaskKey
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node.keys import UNANSWERED_KEY
from coltsfootpier.platform import PlatformError, StoreClient
from coltsfootpier.transport import MalformedMessageError, decode, encode

# Bounds the record to about 30 KB.
_MAX_RECORDED = 200


@attrs.frozen
class _Start:
    job: str
    occurrence: int
    step: int
    index: int
    attempt: int
    runner: str
    address: str
    left_ms: float
    repeated: bool = False


@attrs.frozen
class _Starts:
    starts: tuple[_Start, ...] = ()


class RecordWriter(Protocol):
    """Writer of single records; `Committer` implements it."""

    def put_record(self, key: str, value: bytes) -> None:
        """Write a record with the next change."""
        ...


async def load_unanswered_starts(
    store: StoreClient,
) -> Result[tuple[InheritedStart, ...], PlatformError]:
    """Load the starts that earlier owners left without a response."""
    item = await store.get(UNANSWERED_KEY)
    if isinstance(item, Failure):
        return item
    value = item.unwrap().value
    if value is None:
        return Success(())
    try:
        starts = decode(value, _Starts).starts
    except MalformedMessageError as error:
        log_event("cannot decode record", key=UNANSWERED_KEY, reason=str(error))
        return Success(())
    return Success(
        tuple(
            InheritedStart(
                run=RunId(
                    start.job, TaskKey(start.occurrence, start.step, start.index), start.attempt
                ),
                runner_id=start.runner,
                address=start.address,
                left_ms=start.left_ms,
                is_repeated=start.repeated,
            )
            for start in starts
        )
    )


class UnansweredStartWriter:
    """Task that keeps the record up to date.

    Parameters
    ----------
    starts : UnansweredStarts
        Starts of the cell that have no response.
    records : RecordWriter
        Writer of the record.
    clock : Clock
        Time source.
    """

    def __init__(self, *, starts: UnansweredStarts, records: RecordWriter, clock: Clock) -> None:
        self._starts = starts
        self._records = records
        self._clock = clock
        # Recorded runs, and whether their start was sent more than once.
        self._recorded: frozenset[tuple[RunId, bool]] = frozenset()
        self._written_ms = float("-inf")

    async def run(self) -> None:
        """Write the record when it has changed, until cancelled."""
        while True:
            await anyio.sleep(_timing.UNANSWERED_PERIOD_MS / 1000)
            self.write(pending_ms=_timing.UNANSWERED_PENDING_MS)

    def write(self, *, pending_ms: float) -> None:
        """Write the record if it lacks a start, or if it lists others for a while.

        Parameters
        ----------
        pending_ms : float
            Time from which a start whose call hasn't ended counts as without a response.
        """
        now_ms = self._clock.now_ms()
        starts = self._starts.export(now_ms, pending_ms=pending_ms, limit=_MAX_RECORDED)
        current = frozenset((start.run, start.is_repeated) for start in starts)
        is_cleared = current != self._recorded and (
            now_ms - self._written_ms >= _timing.UNANSWERED_CLEARING_MS
        )
        if current <= self._recorded and not is_cleared:
            return
        self._recorded, self._written_ms = current, now_ms
        self._records.put_record(UNANSWERED_KEY, encode(_Starts(tuple(map(_encode, starts)))))


def _encode(start: InheritedStart) -> _Start:
    run = start.run
    return _Start(
        job=run.job_id,
        occurrence=run.key.occurrence,
        step=run.key.step,
        index=run.key.index,
        attempt=run.attempt,
        runner=start.runner_id,
        address=start.address,
        left_ms=start.left_ms,
        repeated=start.is_repeated,
    )
