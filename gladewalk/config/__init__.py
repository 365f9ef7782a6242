"""Configuration: the platform's file and settings, our own options file, key ring files."""
