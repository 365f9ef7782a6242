"""Operators' HTTP endpoints of a running director: readiness, draining and metrics."""
