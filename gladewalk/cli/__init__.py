"""Command line: one file for each group of commands, and one for their output to a terminal.

Libraries and parts of gladewalk are imported inside the commands that need them. Every command therefore
starts fast, and a part that cannot be imported affects only its own commands.
"""
