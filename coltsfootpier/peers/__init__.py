"""Communication between daemons: messages, client and server."""

from coltsfootpier.peers._client import PeerClient
from coltsfootpier.peers._messages import (
    BorrowSlot,
    Heartbeat,
    LentSlot,
    MemberList,
    PublishedRunners,
    ReturnSlot,
    RunnerTable,
)
from coltsfootpier.peers._server import PeerHandlers, build_peer_application

__all__ = [
    "BorrowSlot",
    "Heartbeat",
    "LentSlot",
    "MemberList",
    "PeerClient",
    "PeerHandlers",
    "PublishedRunners",
    "ReturnSlot",
    "RunnerTable",
    "build_peer_application",
]
