"""The durable state of one replica: its log, the thread that writes it, and the identity of its disk."""
