"""Tests against crowds of clients that exceed all limits."""
