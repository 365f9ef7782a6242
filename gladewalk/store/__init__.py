"""Embedded store: keeps the state that a director has acknowledged across restarts.

The package has a log-structured key-value store in one directory (`segmented_log`, `writer`), and the service
that records a director's state in it (`persistence`). Formats, recovery, index and policies do no I/O;
`file_system` does all of it.
"""
