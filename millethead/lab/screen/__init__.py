"""A fast screen for policies of the scheduler: days of a workload in virtual time, decided by the real scheduler."""
