"""The process around the core: settings files, logs, metrics, sockets and the event loop (`node`).

Other packages of the daemon send their events to the node, which calls them to perform effects.
"""
