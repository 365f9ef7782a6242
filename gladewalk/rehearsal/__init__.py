"""Stand-ins for tests and rehearsals: scripted servers, coordinator, resolver and simulated networks."""
