"""HTTP application for operators, health checks and metrics."""

from __future__ import annotations

from typing import Protocol

from coltsfootpier.burn import BurnReport
from coltsfootpier.configuration import Revision
from coltsfootpier.operators._messages import ApplyReply, ApplyRequest, StatusReply
from coltsfootpier.transport import Application, HttpRequest, HttpResponse, decode

_MAX_BODY_BYTES = 4_000_000
_STATUS_BY_OUTCOME = {
    "accepted": 200,
    "invalid": 422,
    "conflict": 409,
    "unavailable": 503,
    "unknown": 504,
}


class OperatorHandlers(Protocol):
    """Handlers of a daemon for the operators' interface."""

    async def on_apply(self, request: ApplyRequest) -> ApplyReply:
        """Apply a change of the configuration and return its outcome."""
        ...

    async def on_status(self) -> StatusReply:
        """Return the state of the whole system."""
        ...

    async def on_pull_revision(self) -> Revision:
        """Return the configuration in force."""
        ...

    async def on_burn(self) -> BurnReport:
        """Return the burn report, merged over all entry VMs."""
        ...

    def get_unready_reason(self) -> str:
        """Return why the daemon isn't ready for requests; empty when it is."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...


def build_operator_application(handlers: OperatorHandlers) -> Application:
    """Return the application that serves the operators' interface."""

    async def health(_: HttpRequest) -> HttpResponse:
        return HttpResponse.from_message({"status": "ok"})

    async def ready(_: HttpRequest) -> HttpResponse:
        reason = handlers.get_unready_reason()
        return HttpResponse.from_message(
            {"ready": not reason, "reason": reason}, 503 if reason else 200
        )

    async def metrics(_: HttpRequest) -> HttpResponse:
        return HttpResponse(body=handlers.render_metrics(), content_type=b"text/plain")

    async def apply(request: HttpRequest) -> HttpResponse:
        reply = await handlers.on_apply(decode(request.body, ApplyRequest))
        return HttpResponse.from_message(reply, _STATUS_BY_OUTCOME[reply.outcome])

    async def status(_: HttpRequest) -> HttpResponse:
        return HttpResponse.from_message(await handlers.on_status())

    async def config(_: HttpRequest) -> HttpResponse:
        return HttpResponse.from_message(await handlers.on_pull_revision())

    async def burn(_: HttpRequest) -> HttpResponse:
        return HttpResponse.from_message(await handlers.on_burn())

    return Application(
        routes={
            "GET /healthz": health,
            "GET /readyz": ready,
            "GET /metrics": metrics,
            "POST /v1/apply": apply,
            "GET /v1/status": status,
            "GET /v1/config": config,
            "GET /v1/burn": burn,
        },
        max_body_bytes=_MAX_BODY_BYTES,
    )
