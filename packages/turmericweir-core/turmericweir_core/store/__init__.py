"""Follow the platform's store: the settings document and the registry of backend servers."""
