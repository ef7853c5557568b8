"""Adapter to the platform on which the users run the system."""
