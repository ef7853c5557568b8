"""Tests of `lycheespar.control.storage.storage`."""
