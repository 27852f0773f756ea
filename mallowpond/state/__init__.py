"""Pure data and decisions: no input or output, time is an argument."""

__all__ = [
    "assurance",
    "balancer",
    "claims",
    "codec",
    "declarations",
    "lease",
    "limits",
    "ownership",
    "planner",
    "proposal",
    "quota",
    "retry",
    "rows",
]
