"""Keys of the table service's rows.

Rows that every controller reads stand below ``shared/``; heartbeats stand below
their cell, since every node reading every heartbeat would by itself break the budget
for control traffic. Claims are read one by one and never scanned.
"""

SHARED = "shared/"
HEAD = "config/head"
PROPOSAL = "config/proposal"
VERSIONS = "config/version/"
CELLS = "cell/"
GROUPS = "group/"
HOSTS = "host/"
LEASES = "lease/"
MEMBERS = "member/"
QUARANTINE = "quarantine/"
BEATS = "beat/"


def cell_prefix(cell: str) -> str:
    """Return the prefix of a cell's own rows."""
    return f"cell/{cell}/"


def claim_key(workspace: str, key: str) -> str:
    """Return the key of a claim."""
    return f"claim/{workspace}/{key}"


def ledger_key(workspace: str, member: str) -> str:
    """Return the key of what one controller charged to a workspace."""
    return f"ledger/{workspace}/{member}"


def quota_key(workspace: str) -> str:
    """Return the key of a workspace's leased budget."""
    return f"quota/{workspace}"
