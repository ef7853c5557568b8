"""Replicated configuration, its storage and the API for operators."""
