"""Speak to callers: the HTTP port, and each request from its arrival to its account."""
