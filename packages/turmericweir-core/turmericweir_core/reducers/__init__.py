"""Reducers of events: for the log-based interface, for store platforms, and their common part."""
