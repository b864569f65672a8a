"""The callers' side: the HTTP port, and each request from its arrival to its final account."""
