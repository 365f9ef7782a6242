"""Configuration: the platform's file and settings, the director's own options file, key ring files."""
