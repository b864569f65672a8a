"""Detect lost connections and requests that crash servers, and limit retries."""
