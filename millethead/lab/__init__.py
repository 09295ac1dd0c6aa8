"""Stand-ins for what is outside: clocks, workers, discovery. `serve` never imports it."""
