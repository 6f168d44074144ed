"""HTTP transport: client connections, embedded servers and typed JSON messages."""

from coltsfootpier.transport._address import MAX_PORT, is_address, is_ip_address, split_address
from coltsfootpier.transport._budget import (
    MAX_UNREAD_BYTES,
    ConnectionGroup,
    ProcessBudget,
    compute_budget_bytes,
    read_max_files,
)
from coltsfootpier.transport._channel import Channel
from coltsfootpier.transport._codec import decode, encode, unstructure
from coltsfootpier.transport._connection import Connection, Reply
from coltsfootpier.transport._errors import (
    BadReply,
    BindError,
    CallError,
    MalformedMessageError,
    NotSent,
    Unanswered,
)
from coltsfootpier.transport._httptools import HttptoolsConnection, HttptoolsPool
from coltsfootpier.transport._limits import ConnectionLimits, build_protocol
from coltsfootpier.transport._mailbox import Mailbox
from coltsfootpier.transport._server import (
    MAX_ECHO_CHARACTERS,
    Application,
    AsgiApp,
    BodyError,
    HttpRequest,
    HttpResponse,
    Scope,
    Server,
    bind,
    read_body,
    read_upload,
    send_large_response,
    send_response,
)
from coltsfootpier.transport._stream import BodyStream, BodyTruncatedError, Upload, UploadError

__all__ = [
    "MAX_ECHO_CHARACTERS",
    "MAX_PORT",
    "MAX_UNREAD_BYTES",
    "Application",
    "AsgiApp",
    "BadReply",
    "BindError",
    "BodyTruncatedError",
    "BodyError",
    "BodyStream",
    "CallError",
    "Channel",
    "Connection",
    "ConnectionGroup",
    "ConnectionLimits",
    "HttpRequest",
    "HttpResponse",
    "HttptoolsConnection",
    "HttptoolsPool",
    "Mailbox",
    "MalformedMessageError",
    "NotSent",
    "ProcessBudget",
    "Reply",
    "Scope",
    "Server",
    "Unanswered",
    "Upload",
    "UploadError",
    "bind",
    "build_protocol",
    "compute_budget_bytes",
    "decode",
    "encode",
    "is_address",
    "is_ip_address",
    "split_address",
    "read_body",
    "read_max_files",
    "read_upload",
    "send_large_response",
    "send_response",
    "unstructure",
]
