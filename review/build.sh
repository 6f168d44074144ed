#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start, after the build of the deploy file. They are Python
# and need no compiler; this checks that they and the project's own stand-ins can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c "
import review.frame, review.harness, review.kinds, review.lasting
import standins.cluster, standins.nodes, standins.platform, standins.runners"
