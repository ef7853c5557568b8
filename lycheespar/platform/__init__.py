"""Adapter between this project and the platform on which users run it."""
