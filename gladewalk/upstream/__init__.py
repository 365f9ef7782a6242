"""The server side: connections to caches, parents and origins, over HTTP/1.1 and HTTP/2."""
