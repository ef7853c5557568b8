"""Tests of the configuration and its freshness."""
