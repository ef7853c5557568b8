"""Tests of logs, events, metrics and traces."""
