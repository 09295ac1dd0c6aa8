"""millethead: a dispatcher that pushes jobs to workers (see README.md)."""

__version__ = "0.2.0"
