"""Control state: chain replication over the machines with a disk, reconfigured by a small agreed view.

Sources: van Renesse, Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004;
Rystsov, "CASPaxos", 2018 (the register that holds the view).
"""
