"""Admission control for the target of the local node."""
