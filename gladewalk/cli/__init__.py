"""Command line: one file for each group of commands, and what they print to a terminal.

Libraries and parts of gladewalk are imported within the commands that need them, so that every command starts
fast and a broken part breaks only its own commands.
"""
