"""The server side: one pool of connections to caches, parents and the origin, over HTTP/1.1 and HTTP/2."""
