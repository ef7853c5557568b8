"""The replicated configuration: its model, changes and freshness."""
