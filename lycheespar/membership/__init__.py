"""Membership of nodes: gossip and failure detection."""
