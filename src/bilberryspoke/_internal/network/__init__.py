"""I/O of the router on asyncio: HTTP, messages between VMs, timers, logs."""
