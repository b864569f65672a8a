"""Stand in for the platform, the backend servers, the network's faults and the callers in tests."""
