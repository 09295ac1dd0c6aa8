"""The second address, for the staff: readiness, figures, and workers out by hand. Off without an address."""
