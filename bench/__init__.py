"""Measurements; run each module by name."""
