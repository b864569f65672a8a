"""Keep the rate limits of customers and teams over all instances."""
