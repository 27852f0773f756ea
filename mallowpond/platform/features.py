"""Turn the platform's words for the rules in force into settings of the node."""

from dataclasses import replace

from mallowpond.node.settings import NodeSettings

# Word for a deployment whose streams contend for slots.
PRESSURE = "pressure"


def apply_guarantees(settings: NodeSettings) -> NodeSettings:
    """Return the settings with the features that the platform's guarantees call for.

    Words that this version does not know change nothing.
    """
    if PRESSURE not in settings.guarantees:
        return settings
    return replace(settings, contested_slots=True)
