"""Helpers shared by the clients of the platform."""

from __future__ import annotations

from typing import Any

import orjson

from coltsfootpier.transport import Reply

# Prefix of the paths of calls to the store, the runners, the advice service and the VM service.
BASE_PATH = "/coltsfootpier"


def load_object(reply: Reply) -> dict[str, Any]:
    """Return the JSON object in the body of a response; empty when the body isn't one."""
    try:
        value = orjson.loads(reply.body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def read_reason(reply: Reply) -> str:
    """Return the reason in the body of a response; empty when there is none or it isn't a text."""
    reason = load_object(reply).get("reason")
    return reason if isinstance(reason, str) else ""
