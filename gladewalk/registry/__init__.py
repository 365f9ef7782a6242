"""A dispatcher's state: servers, pending requests, attempts, object locations. No I/O and no decisions."""
