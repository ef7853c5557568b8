#!/bin/sh
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:. exec python3 review/9/case.py
