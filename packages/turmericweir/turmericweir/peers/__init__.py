"""Speak to other instances: streams, datagrams and their codec."""
