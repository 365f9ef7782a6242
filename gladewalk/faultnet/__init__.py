"""A fault network of our own for several processes on loopback: relays between every ordered pair, a resource
that fences acts, a launcher, and a nemesis that plays a seeded schedule of faults and signals."""
