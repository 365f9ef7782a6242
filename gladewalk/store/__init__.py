"""An embedded store: what was acknowledged outlives a restart. Framing, state and choices do no I/O."""
