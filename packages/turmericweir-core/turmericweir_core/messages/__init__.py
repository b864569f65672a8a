"""Define what crosses the border of the core: events, effects, and messages between peers."""
