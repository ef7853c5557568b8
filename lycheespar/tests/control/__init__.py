"""Tests of the control hosts and of their clients on the nodes."""
