"""The interface of the core: events, effects, and the messages between peers."""
