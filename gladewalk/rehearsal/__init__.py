"""Stand-ins for tests and rehearsals: scripted servers, coordinator, resolver, simulated networks."""
