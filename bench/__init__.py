"""Measurements of the whole system and of its parts."""
