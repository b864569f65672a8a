"""Decide whether a request is let in, which server runs it, and when it moves to another.

Servers are chosen by credits (`placement`) where the settings come from the own log, and by
prediction (`predicted_placement`) for engines that publish their caches: credits bound what a
server is handed, a prediction says when each server would answer.
"""
