"""Configuration: the platform's file and settings, the director's options file, and key ring files."""
