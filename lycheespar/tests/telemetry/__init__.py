"""Tests of logs, metrics and traces."""
