"""Tests of announcements, connections to the target and probes."""
