"""nginx's routing, read and run as written: `parser`, `translate` to a `table`, `router`, and `explain`.

Nothing here does I/O but `parser`. What cannot be carried over faithfully is refused by file and line.
"""
