#!/usr/bin/env bash
# Builds what the scripts start besides the product: the stand-ins are Python
# modules that need only target/deps, so they are compiled and imported once.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPATH=../target/deps
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/lycheespar-review-cache"
python3 -m compileall -q harness.py [1-5]/case.py
python3 -c 'import harness'
