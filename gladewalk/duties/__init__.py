"""Periodic tasks that are shared among directors: each task has one owner among the live members.

Design note: docs/duties.md.
"""
