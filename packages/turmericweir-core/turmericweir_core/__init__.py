"""Decide what the router does: events in, effects out, no I/O."""
