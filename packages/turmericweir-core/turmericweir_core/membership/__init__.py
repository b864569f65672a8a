"""Track the other instances, leaving backend servers and the instances that read the store."""
