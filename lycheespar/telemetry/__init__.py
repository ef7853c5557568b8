"""Logs, events, metrics and traces."""
