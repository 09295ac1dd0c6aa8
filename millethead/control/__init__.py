"""Control plane: the replicated state and the logic of the head.

The core is a set of members that replicate a log along a chain. The head is the first member of the chain. It is the
leader: it answers calls, appends commands to the log, schedules tasks and directs the agents.
"""
