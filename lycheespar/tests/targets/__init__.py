"""Tests of the HTTP client for the target, load reports and probes."""
