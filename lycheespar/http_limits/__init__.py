"""Bounds on what an unfinished request may cost, for all HTTP servers."""
