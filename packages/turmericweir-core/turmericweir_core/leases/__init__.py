"""Hold leases on duties and give servers their orders. Only the own interface uses it."""
