"""The director's own code under a virtual clock: an event loop, connections in memory, one seed for all."""
