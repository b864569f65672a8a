"""Credit-based flow control: one instance per server grants its slots to all instances."""
