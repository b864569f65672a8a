"""Rate limits of customers and teams, divided over all instances."""
