#!/usr/bin/env bash
# Checks that the stand-ins of the scripts of the second review start from the build of the deploy
# file. They are Python modules, which need no build of their own.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 - <<'CHECK'
import importlib

for module in (
    "standins.platform",
    "standins.runners",
    "standins.histories",
    "review.second_cluster",
    "review.second_proxy",
    "review.second_runners",
):
    importlib.import_module(module)
CHECK
