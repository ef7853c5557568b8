"""Tests of `lycheespar.control.state.state`."""
