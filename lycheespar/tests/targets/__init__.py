"""Tests of the connections to targets."""
