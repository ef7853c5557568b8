"""Operators' API of a control host, and what it reports."""
