"""The asyncio shell around the core."""
