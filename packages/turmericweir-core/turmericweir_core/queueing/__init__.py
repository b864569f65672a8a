"""Decide how long requests may wait, and whether urgent requests are overdue."""
