"""Replication of the control state: chain replication over the machines with a disk. The chain is reconfigured by
views, which a majority of the voters agrees on.

Sources: van Renesse, Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004;
Rystsov, "CASPaxos", 2018 (the register that holds the view).
"""
