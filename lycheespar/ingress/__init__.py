"""HTTP server for callers: request parsing, dispatch and responses."""
