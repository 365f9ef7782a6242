"""The front for imported routing: ordinary HTTP/1.1, each upstream a location of the core. Off unless set."""
