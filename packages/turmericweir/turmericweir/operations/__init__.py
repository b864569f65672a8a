"""The HTTP interfaces for operators: state, settings and draining."""
