"""Jobs as the core keeps them: their description, the commands that change them, and the replicated state."""
