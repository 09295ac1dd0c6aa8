"""millethead: the decisions of a dispatcher that pushes jobs to workers (see README.md)."""

from millethead.balance import Balancer
from millethead.interface import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
