"""A process and its successor: the listener, connections, jobs and what was learned go from one to the other."""
