"""Embedded store: what a director has acknowledged outlasts its restart.

A log-structured key-value store in one directory (`segmented_log`, `writer`), and the service that records a
director's state in it (`persistence`). Formats, recovery, index and policies do no I/O; `file_system` does
all of it.
"""
