"""Membership of dispatchers by SWIM with Lifeguard, and leased shares of fleet-wide limits (docs/members.md)."""
