"""Backend servers: the runners that answer callers' requests."""

from coltsfootpier.backend_servers._client import (
    MAX_BUFFERED_BODY_BYTES,
    NotStarted,
    RunnerPool,
    RunnerResponse,
)

__all__ = ["WHOLE_BODY_BYTES", "Answer", "NotStarted", "RunnerPool"]
