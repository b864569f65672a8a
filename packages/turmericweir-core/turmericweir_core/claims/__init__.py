"""Claims of idempotency keys, which run a call at most once; only with the log-based interface."""
