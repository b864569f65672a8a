"""Predict engines: what each has to do and holds, how fast it is, and how they are shared out."""
