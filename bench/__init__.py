"""Benchmarks; ``make bench`` measures the request path."""
