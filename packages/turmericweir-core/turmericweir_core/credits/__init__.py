"""Share servers out by credits that one instance grants for all. Only the own interface does so."""
