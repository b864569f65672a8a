"""Process a request from its arrival to its account: lifecycle, attempts, quarantine, claims."""
