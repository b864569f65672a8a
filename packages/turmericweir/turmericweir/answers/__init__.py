"""Build the answers that callers receive."""
