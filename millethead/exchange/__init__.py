"""The exchange: connects the front ends with the worker transports. It is independent of any wire protocol."""

from millethead.exchange.core import Exchange
from millethead.exchange.model import Answer, Attempt, Final, Order, Worker, WorkerListing

__all__ = ["Answer", "Attempt", "Exchange", "Final", "Order", "Worker", "WorkerListing"]
