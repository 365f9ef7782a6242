"""Hostile peers played against a real director process: what one peer may make it hold, spend or run."""
