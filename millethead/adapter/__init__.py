"""Adapter that runs the decision module in the simulator, over standard input and output."""
