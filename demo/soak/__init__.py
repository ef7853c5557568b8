"""Soak: real processes under faults, checked from outside."""
