"""Drains and rolling releases that the fleet agrees on, with a disruption budget, halt and undo (docs/rollout.md)."""
