"""Measurements of the decision functions, most of them against a baseline."""
