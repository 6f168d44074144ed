"""Records that are changed in memory and take effect once written by compare-and-swap."""

from coltsfootpier.records._record import (
    JOURNAL_SLOTS,
    RecordEpochError,
    RecordGapError,
    RecordHeader,
    VersionedRecord,
    Write,
    replay_record,
)

__all__ = [
    "JOURNAL_SLOTS",
    "RecordEpochError",
    "RecordGapError",
    "RecordHeader",
    "VersionedRecord",
    "Write",
    "replay_record",
]
