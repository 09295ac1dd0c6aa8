"""Errors that several parts raise and catch; importing them costs nothing else."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""
