"""Which waiting task starts next, and on which worker: pure decisions, called by the head of the core."""
