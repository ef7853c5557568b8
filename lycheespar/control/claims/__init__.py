"""Claims of idempotency keys, kept by a majority of the control hosts."""
