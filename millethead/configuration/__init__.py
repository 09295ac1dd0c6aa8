"""The operator's configuration and the settings of a process: records, validation, changes and route lookup."""
