"""Control plane: the replicated state, and what the head of the core does with it."""
