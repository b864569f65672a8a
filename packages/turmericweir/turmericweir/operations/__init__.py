"""Speak to operators: state, settings, drains."""
