"""Keys of this system in the store.

The owner's key begins with the same letter as the operators' keys, so one watch covers both; a
watch is priced as one call for each answer.
"""

from __future__ import annotations

# Prefix of everything that each daemon watches.
CONTROL_PREFIX = "o"
OWNER_KEY = "owner/0"
HEAD_KEY = "cells/0/head"
FLEET_KEY = "cells/0/fleet"
LEARNED_KEY = "cells/0/learned"
UPKEEP_KEY = "cells/0/upkeep"
JOBS_PREFIX = "cells/0/jobs/"


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS_PREFIX + job_id
