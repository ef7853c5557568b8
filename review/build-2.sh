#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to 10 start: they are Python
# of this repository, compiled here, and need nothing but target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q standins review/site_2.py
PYTHONPATH=target/deps:. python3 -c 'import review.site_2'
