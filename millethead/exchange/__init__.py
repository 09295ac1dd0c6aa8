"""The exchange: connects the front ends with the worker transports. It is independent of any wire protocol."""

from millethead.exchange.core import Exchange
from millethead.exchange.model import Answer, Attempt, Final, Listed, Order, Worker

__all__ = ["Answer", "Attempt", "Exchange", "Final", "Listed", "Order", "Worker"]
