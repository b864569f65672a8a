"""Operate running routers from the command line."""
