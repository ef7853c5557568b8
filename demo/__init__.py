"""Demonstration of the example deployments on one machine."""
