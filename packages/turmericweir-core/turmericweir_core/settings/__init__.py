"""Follow the log of settings and put accepted changes in force. Only the own interface uses it."""
