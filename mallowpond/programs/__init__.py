"""The command line and how each program runs."""

__all__ = [
    "cli",
    "demo",
    "logs",
    "operator_commands",
    "processes",
    "site",
]
