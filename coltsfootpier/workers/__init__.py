"""Client of workers, and the messages exchanged with them."""

from coltsfootpier.workers._client import WorkerClient
from coltsfootpier.workers._messages import Command, SyncReply, SyncRequest, TaskReport

__all__ = ["Command", "SyncReply", "SyncRequest", "TaskReport", "WorkerClient"]
