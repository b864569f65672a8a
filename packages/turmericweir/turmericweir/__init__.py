"""Run the router daemon: the adapters and the loop around the core."""
