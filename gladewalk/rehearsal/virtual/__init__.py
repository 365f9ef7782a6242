"""The director's own code in virtual time: an event loop, connections in memory, one seed for every draw."""
