"""The exchange, its types, deadlines and counters: what every request passes through."""
