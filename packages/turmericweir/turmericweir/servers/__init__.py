"""Communication with backend servers: connections, calls and attempts."""
