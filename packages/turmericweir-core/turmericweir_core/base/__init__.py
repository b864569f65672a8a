"""Basic data types: identifiers, settings, options, requests and their final accounts.

This is the lowest layer of the core: every other package may import it, and it imports none of
them.
"""
