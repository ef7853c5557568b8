"""Tests of `lycheespar.control.claims.claims`."""
