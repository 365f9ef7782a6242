"""Control socket: an optional Unix socket through which its owner queries a running director."""
