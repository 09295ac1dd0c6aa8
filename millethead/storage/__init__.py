"""Durable state of one replica: write-ahead log, log writer thread, disk identity and acceptor register."""
