"""Client of the command-line tool for the operators' interface of a daemon."""

from __future__ import annotations

from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.burn import BurnReport
from coltsfootpier.clock import Clock
from coltsfootpier.configuration import Revision
from coltsfootpier.operators._messages import ApplyReply, ApplyRequest, StatusReply
from coltsfootpier.transport import (
    Connection,
    MalformedMessageError,
    NotSent,
    Reply,
    decode,
    encode,
    split_address,
)

_T = TypeVar("_T")
_MAX_BODY_BYTES = 64_000_000
_MAX_IDLE_MS = 10_000.0


@attrs.frozen
class OperatorError:
    """Failed request to a daemon.

    Parameters
    ----------
    reason : str
        Description of the failure.
    unknown : bool
        Whether the request may have taken effect.
    """

    reason: str
    unknown: bool = False


@attrs.frozen
class _ProblemReply:
    error: str
    reason: str


class OperatorClient:
    """Client of the operators' interface of one daemon.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the operators' interface.
    clock : Clock
        Time source.
    timeout_ms : float, default=10_000
        Time allowed for a call, in ms.
    """

    def __init__(self, *, address: str, clock: Clock, timeout_ms: float = 10_000) -> None:
        host, port = split_address(address)
        self._connection = Connection(
            host=host, port=port, clock=clock, max_body_bytes=_MAX_BODY_BYTES
        )
        self._timeout_ms = timeout_ms

    async def apply(self, request: ApplyRequest) -> Result[ApplyReply, OperatorError]:
        """Request a change of the configuration."""
        return await self._call(b"POST", b"/v1/apply", ApplyReply, encode(request))

    async def read_status(self) -> Result[StatusReply, OperatorError]:
        """Read the state of the whole system."""
        return await self._call(b"GET", b"/v1/status", StatusReply)

    async def read_config(self) -> Result[Revision, OperatorError]:
        """Read the configuration in force."""
        return await self._call(b"GET", b"/v1/config", Revision)

    async def read_burn(self) -> Result[BurnReport, OperatorError]:
        """Read the burn report of all entry VMs."""
        return await self._call(b"GET", b"/v1/burn", BurnReport)

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    async def _call(
        self, method: bytes, target: bytes, reply_type: type[_T], body: bytes = b""
    ) -> Result[_T, OperatorError]:
        result = await self._connection.exchange(
            method=method,
            target=target,
            body=body,
            timeout_ms=self._timeout_ms,
            max_idle_ms=_MAX_IDLE_MS,
        )
        if isinstance(result, Failure):
            error = result.failure()
            return Failure(OperatorError(error.reason, not isinstance(error, NotSent)))
        reply = result.unwrap()
        try:
            return Success(decode(reply.body, reply_type))
        except MalformedMessageError:
            return Failure(_decode_error(reply))


def _decode_error(reply: Reply) -> OperatorError:
    try:
        problem = decode(reply.body, _ProblemReply)
    except MalformedMessageError:
        # The sender of a malformed response may have forwarded the request.
        return OperatorError(f"the response is malformed (status {reply.status})", unknown=True)
    return OperatorError(problem.reason, unknown=reply.status >= 500)
