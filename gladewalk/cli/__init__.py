"""The command line and what it prints to a terminal."""
