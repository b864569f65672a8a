"""Stand-ins for the platform, backend servers, network faults and callers, used in tests."""
