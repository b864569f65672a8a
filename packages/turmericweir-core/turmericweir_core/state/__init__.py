"""State of an instance: one module for each concern, combined in `state`.

A function here reads and changes only the data of its own module. Code that needs two concerns at
once is in a package above this one.
"""
