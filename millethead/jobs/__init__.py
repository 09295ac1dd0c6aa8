"""Jobs in the core: the description that a client submits, the replicated commands, and the replicated state."""
