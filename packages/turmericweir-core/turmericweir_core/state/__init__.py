"""Hold what an instance knows: a module for each concern, put together in `state`.

Functions here read and change the data of their own module alone. Whatever needs two concerns at
once stands in a package above.
"""
