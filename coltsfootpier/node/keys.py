"""Keys of the daemons' records in the store.

The owner's key starts with the same letter as the operators' keys, so that one watch covers both; a
watch is charged one call per response.
"""

from __future__ import annotations

# Prefix of all keys that each daemon watches.
CONTROL_PREFIX = "o"
OWNER_KEY = "owner/0"
HEAD_KEY = "cells/0/head"
FLEET_KEY = "cells/0/fleet"
LEARNED_KEY = "cells/0/learned"
MAINTENANCE_KEY = "cells/0/upkeep"
UNANSWERED_KEY = "cells/0/unanswered"
JOBS_PREFIX = "cells/0/jobs/"


def job_key(job_id: str) -> str:
    """Return the key of the record of a job."""
    return JOBS_PREFIX + job_id
