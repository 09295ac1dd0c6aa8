"""The operator's configuration and a process's settings: records, checks, changes and route look-up."""
