"""Imports nginx's routing configuration and routes requests by it.

`parser` and `translate` import a configuration file to a `table`; `compiler` and `router` route requests by
the table; `explain` reports each routing step of a request. Only `parser` and the loading of a table do I/O.
A directive that cannot be translated faithfully is refused with its file and line.
"""
