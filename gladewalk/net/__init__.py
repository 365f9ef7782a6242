"""Connections of clients, operators and the coordinator, on asyncio protocol classes."""
