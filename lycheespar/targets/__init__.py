"""Announcements of the local target, HTTP client and load probes for it."""
