"""Pure data and decisions: no input or output, time is an argument."""

__all__ = [
    "admission",
    "assurance",
    "balancer",
    "claims",
    "codec",
    "declarations",
    "lease",
    "ownership",
    "planner",
    "proposal",
    "quota",
    "retry",
    "rows",
]
