"""Pure data and decisions: no input or output, time is an argument."""
