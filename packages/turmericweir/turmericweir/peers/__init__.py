"""Communication with other instances: streams, datagrams and their codec."""
