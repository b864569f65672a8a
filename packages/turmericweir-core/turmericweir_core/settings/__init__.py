"""The settings: reads their log, writes operators' changes to it, and puts them in force."""
