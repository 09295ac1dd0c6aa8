"""Fair queues before the exchange, and honest times to come back for those who are turned away."""
