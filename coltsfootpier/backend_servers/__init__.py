"""Client of backend servers, the runners that serve callers' requests."""

from coltsfootpier.backend_servers._client import (
    MAX_BUFFERED_BODY_BYTES,
    NotStarted,
    RunnerPool,
    RunnerResponse,
)

__all__ = ["MAX_BUFFERED_BODY_BYTES", "NotStarted", "RunnerPool", "RunnerResponse"]
