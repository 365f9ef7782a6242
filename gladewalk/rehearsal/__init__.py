"""Stand-ins for rehearsals on loopback: scripted caches, a coordinator, a director's process, a resolver."""
