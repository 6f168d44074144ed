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
