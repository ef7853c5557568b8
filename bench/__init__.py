"""Benchmarks; each module runs by itself, ``make bench`` runs the path."""
