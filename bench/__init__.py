"""Benchmarks; ``make bench`` runs the one of the request path."""
