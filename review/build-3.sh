#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
#
# All of them are Python modules of this repository that need no more than the dependencies which
# the build of the deploy file installs, so this compiles them and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.nodes, standins.platform, standins.runners, third_fleet, third_world'
