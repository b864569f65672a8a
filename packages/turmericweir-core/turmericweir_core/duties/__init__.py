"""Work that one instance does for all: usage reports and orders for servers."""
