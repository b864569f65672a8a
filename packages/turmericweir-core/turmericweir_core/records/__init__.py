"""Define the records of the own log: claims, leases and settings, and what makes one valid.

Only the own interface writes and reads them; on a platform that keeps the settings they are unused.
"""
