"""Jobs that wait for a time, for other jobs, or, once refused, for their turn."""
