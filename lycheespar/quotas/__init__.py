"""Quotas of teams, which all nodes keep together."""
