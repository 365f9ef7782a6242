"""What a dispatcher knows: servers, open requests, attempts, object locations. No I/O and no decisions."""
