"""Tests of the teams that call through the system."""
