"""Runs the benchmark of the request path, `bench.path`."""

from __future__ import annotations

from bench.path import main

if __name__ == '__main__':
    main()
