"""Replicated state of the control hosts and the entries that change it."""
