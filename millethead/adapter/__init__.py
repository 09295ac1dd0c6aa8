"""The simulator's wire: the same decisions, played over standard input and output."""
