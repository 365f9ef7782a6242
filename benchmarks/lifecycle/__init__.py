"""Seeded runs of a director's stop and of its upgrade, with real processes and a checker for each."""
