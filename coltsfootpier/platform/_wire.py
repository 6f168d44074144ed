"""What all calls of the platform share."""

from __future__ import annotations

from typing import Any

import orjson

from coltsfootpier.transport import Reply

# Every path of the platform's calls begins with it.
BASE_PATH = "/coltsfootpier"


def load_object(reply: Reply) -> dict[str, Any]:
    """Return the JSON object in an answer; one that can't be read is as good as an empty one."""
    try:
        value = orjson.loads(reply.body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
