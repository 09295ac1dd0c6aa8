"""Execution plane: the agent that runs next to each worker and starts, stops and renews the runs on it."""
