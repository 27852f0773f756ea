"""Keys of the table service's rows.

Rows that every controller reads have the prefix ``shared/``. Heartbeats have the prefix
of their cell, since reading every heartbeat on every controller would alone exceed the
budget for control traffic. Claims are read one by one and never scanned.
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
QUARANTINED_PARTS = "quarantine_parts/"
HEARTBEATS = "beat/"


def cell_prefix(cell: str) -> str:
    """Return the prefix of a cell's own rows."""
    return f"cell/{cell}/"


def claim_key(workspace: str, key: str) -> str:
    """Return the key of a claim."""
    return f"claim/{workspace}/{key}"


def ledger_key(workspace: str, member: str) -> str:
    """Return the key of the units that one controller charged to a workspace."""
    return f"ledger/{workspace}/{member}"


def quota_key(workspace: str) -> str:
    """Return the key of the units of a workspace's budget that gateways have leased."""
    return f"quota/{workspace}"
