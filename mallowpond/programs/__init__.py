"""The command line, the settings, and how each program runs."""
