"""Implementations of the commands of the command line."""
