"""Tests of `lycheespar.control.api`."""
