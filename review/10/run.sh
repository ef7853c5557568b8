#!/bin/sh
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:. exec python3 review/10/case.py
