"""Execution plane: the agent beside each worker, which alone starts, stops and holds what runs there."""
