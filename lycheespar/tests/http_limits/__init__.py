"""Tests of the limits of HTTP servers."""
