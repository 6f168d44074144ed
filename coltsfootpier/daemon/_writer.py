"""Conditional writes of versioned records."""

from __future__ import annotations

from typing import Any

import anyio
from returns.result import Success

from coltsfootpier.logs import log_event
from coltsfootpier.platform import Conflict, PlatformClient, StoreUnavailable
from coltsfootpier.records import VersionedRecord, Write
from coltsfootpier.transport import MalformedMessageError

# Delay after a failed write, and between reads that determine the outcome of a write without a
# response.
_RETRY_DELAY_MS = 250.0


async def write_record(
    platform: PlatformClient, record: VersionedRecord[Any], write: Write
) -> bool:
    """Execute one write and wait until its outcome is known.

    Parameters
    ----------
    platform : PlatformClient
        Client of the store.
    record : VersionedRecord
        Record that the write belongs to.
    write : Write
        Write to execute.

    Returns
    -------
    bool
        False if another owner has written the record. The calling task has then lost ownership
        and must stop acting on the record.
    """
    try:
        return await _execute_write(platform, record, write)
    except MalformedMessageError as error:
        # Only owners write the record. Content that can't be decoded comes from another owner, so
        # ownership is lost.
        log_event("cannot decode record", key=write.key, reason=str(error))
        return False


async def _execute_write(
    platform: PlatformClient, record: VersionedRecord[Any], write: Write
) -> bool:
    result = await platform.put(write.key, write.value, expected_version=write.expected_version)
    if isinstance(result, Success):
        record.confirm(result.unwrap().version)
        return True
    error = result.failure()
    if isinstance(error, Conflict):
        return record.resolve(error.current)
    if isinstance(error, StoreUnavailable):
        record.abandon()
        await anyio.sleep(_RETRY_DELAY_MS / 1000)
        return True
    log_event("store write without response", key=write.key, token=write.token)
    while True:
        await anyio.sleep(_RETRY_DELAY_MS / 1000)
        read = await platform.get(write.key)
        if isinstance(read, Success):
            return record.resolve(read.unwrap())
