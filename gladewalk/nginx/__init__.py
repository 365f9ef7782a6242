"""nginx's routing, imported and executed.

`parser` and `translate` import a file to a `table`; `compiler` and `router` route requests by it; `explain`
tells why a request lands where it does. Only `parser` and the loading of a table do I/O. What cannot be
carried over faithfully is refused by file and line.
"""
