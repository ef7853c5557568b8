"""Tests of gossip and failure detection."""
