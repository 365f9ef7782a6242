"""Operational endpoints of a running director: readiness, draining and metrics."""
