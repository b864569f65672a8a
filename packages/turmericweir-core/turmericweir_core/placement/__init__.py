"""Decide whether a request is admitted, which server runs it, and when it moves to another.

Two policies choose servers: credits (`placement`), and prediction (`predicted_placement`) for
engines that publish their caches. Credits bound what each server is sent; a prediction estimates
when each server would answer.
"""
