"""Exceptions shared by several parts. This module has no imports, so that it loads fast."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration is invalid. The text gives the reason in one line."""
