"""The core: the one object that joins client side and server side. It knows no wire."""

from millethead.exchange.core import Exchange
from millethead.exchange.model import Answer, Attempt, Final, Listed, Order, Worker

__all__ = ["Answer", "Attempt", "Exchange", "Final", "Listed", "Order", "Worker"]
