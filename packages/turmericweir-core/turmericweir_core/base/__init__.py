"""Name things: identifiers, settings as data, options, requests and the accounts of them.

The bottom of the core. Every other package may import this one; it imports none of them.
"""
