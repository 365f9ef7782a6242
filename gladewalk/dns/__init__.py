"""The second front: DNS-based request routing, decided by the same core as HTTP."""
