"""Tests of the control hosts."""
