"""Clients and message formats of the platform's interfaces; all decisions are made elsewhere."""

from coltsfootpier.platform._callers import (
    DEADLINE_HEADER,
    decode_job,
    encode_pending,
    encode_state,
    is_job_id,
)
from coltsfootpier.platform._client import PlatformClient
from coltsfootpier.platform._messages import (
    ConditionFailed,
    Conflict,
    Events,
    HistoryLost,
    Item,
    LeaseLost,
    Listing,
    Page,
    PlatformError,
    StoreLease,
    StoreUnavailable,
    StoreUnknown,
    Vm,
    WatchResult,
    Write,
)
from coltsfootpier.platform._operators import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    WAVES_PREFIX,
    decode_configuration,
    decode_evacuated_zone,
    decode_wave,
    encode_wave_status,
)
from coltsfootpier.platform._runners import (
    REGISTRY_PREFIX,
    AdviceClient,
    RunnerClient,
    decode_runner_entry,
)
from coltsfootpier.platform._settings import (
    DEFAULT_MEMORY_MB,
    SETTINGS_VARIABLE,
    read_node_settings,
)
from coltsfootpier.platform._store import MAX_ENTRIES, StoreClient
from coltsfootpier.platform._vms import VmClient

__all__ = [
    "CONFIG_KEY",
    "DEADLINE_HEADER",
    "EVACUATIONS_PREFIX",
    "DEFAULT_MEMORY_MB",
    "MAX_ENTRIES",
    "REGISTRY_PREFIX",
    "SETTINGS_VARIABLE",
    "WAVES_PREFIX",
    "AdviceClient",
    "ConditionFailed",
    "Conflict",
    "Events",
    "HistoryLost",
    "Item",
    "LeaseLost",
    "Listing",
    "Page",
    "PlatformClient",
    "PlatformError",
    "RunnerClient",
    "StoreClient",
    "StoreLease",
    "StoreUnavailable",
    "StoreUnknown",
    "Vm",
    "VmClient",
    "WatchResult",
    "Write",
    "decode_configuration",
    "decode_evacuated_zone",
    "decode_runner_entry",
    "decode_job",
    "decode_wave",
    "encode_pending",
    "encode_state",
    "encode_wave_status",
    "is_job_id",
    "read_node_settings",
]
