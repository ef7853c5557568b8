"""End-to-end tests with control hosts, nodes and targets as processes."""
