"""Leases of scopes, and the placement of models under them."""
