"""Speak to backend servers: connections, calls, attempts."""
