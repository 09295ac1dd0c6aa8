"""The operator console, an HTTP API on an address of its own: readiness, metrics, and manual exclusion of workers.
Disabled unless the address is configured."""
