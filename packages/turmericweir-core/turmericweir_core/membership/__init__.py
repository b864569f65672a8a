"""Know the other instances and the servers: who lives, who leaves, who reads the store for all."""
