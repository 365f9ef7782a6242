"""Benchmarks, each a module to run with `python -m benchmarks.NAME`."""
