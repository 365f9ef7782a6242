"""Control socket: a Unix socket, off unless configured, over which its owner queries a running director."""
