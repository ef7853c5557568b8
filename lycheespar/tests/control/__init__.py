"""Tests of the control hosts and of what follows them."""
