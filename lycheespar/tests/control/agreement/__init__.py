"""Tests of `lycheespar.control.agreement`."""
