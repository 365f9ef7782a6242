"""The exchange, which every request passes through, with its types, clocks, deadlines, counters and logs."""
