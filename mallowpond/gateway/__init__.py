"""The program that meets callers."""
