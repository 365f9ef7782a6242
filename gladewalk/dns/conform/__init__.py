"""Conformance suite for authoritative DNS servers: cases by RFC, run against any server."""
