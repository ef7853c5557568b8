"""Tests of `lycheespar.control.following`."""
