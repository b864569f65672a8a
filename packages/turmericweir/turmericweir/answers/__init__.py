"""Shape what callers are answered, whatever server it came from."""
