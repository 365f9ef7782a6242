"""A soak test of directors as real processes: random deployments and faults, and an independent checker."""
