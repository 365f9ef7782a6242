"""A soak of directors as real processes: drawn deployments and faults, judged by a checker of its own."""
