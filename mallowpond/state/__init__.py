"""Pure data and decision logic: no input or output, and time is an argument."""

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
