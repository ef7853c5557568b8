"""Tests of the quotas of teams."""
