"""What operators ask of a running director: readiness, drain and figures, decided without I/O."""
