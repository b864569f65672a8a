"""Decide whom to trust again: retries, silent connections, requests that crash servers."""
