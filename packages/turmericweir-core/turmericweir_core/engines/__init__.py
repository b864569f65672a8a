"""Predict engines: their pending work, caches and speed, and how they are shared out."""
