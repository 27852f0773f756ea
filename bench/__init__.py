"""Measurements of the product's decisions, each against a baseline in one run."""
