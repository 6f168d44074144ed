"""Client of backend servers, the runners that serve callers' requests."""

from coltsfootpier.backend_servers._client import WHOLE_BODY_BYTES, Answer, NotStarted, RunnerPool

__all__ = ["WHOLE_BODY_BYTES", "Answer", "NotStarted", "RunnerPool"]
