"""Tests, in the same folder structure as the package."""
