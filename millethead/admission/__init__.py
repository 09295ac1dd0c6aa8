"""Admission control before the exchange: fair queues, and retry times for the jobs that are refused."""
