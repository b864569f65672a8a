"""Take every event: the reducer of the own interface, that of the platform, and what both share."""
