"""The adapter to the observatory platform: names, formats and calls, no decisions."""
