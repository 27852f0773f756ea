"""Turn the platform's words for the rules in force into settings of the node."""

from dataclasses import replace

from mallowpond.node.settings import NodeSettings

# Word for a deployment whose streams contend for slots, and for one whose callers have
# keys.
PRESSURE = "pressure"
TENANTS = "tenants"


def apply_guarantees(settings: NodeSettings) -> NodeSettings:
    """Return the settings with the features that the platform's guarantees call for.

    Words that this version does not know change nothing.
    """
    return replace(
        settings,
        contested_slots=settings.contested_slots or PRESSURE in settings.guarantees,
        checks_keys=settings.checks_keys or TENANTS in settings.guarantees,
    )
