"""Follow the platform's store: the settings document, the registry of servers, what they forbid."""
