"""Records of turmericweir's log: claims, leases and settings, with their validation.

On a platform that stores the settings itself, these records are unused.
"""
