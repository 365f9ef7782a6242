"""The HTTP front for imported routing: ordinary HTTP/1.1, a core for each upstream. Off unless set."""
