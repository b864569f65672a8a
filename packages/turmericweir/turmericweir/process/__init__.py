"""Run the process: settings files, logs, metrics, sockets, and the loop around the core (`node`).

Other packages of the daemon hand their events to the node and are called for its effects.
"""
