"""The wire: clients, caches and the coordinator, on asyncio protocol classes."""
