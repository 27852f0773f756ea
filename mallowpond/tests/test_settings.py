"""Settings: all faults are reported at once, each with its path."""

import pytest

from mallowpond.protocol.declaration_file import Faults
from mallowpond.settings import (
    ControllerSettings,
    GatewaySettings,
    parse_settings,
)

CONTROLLER = 'name = "c"\ncell = "ub"\nplatform = "127.0.0.1:1"\n'


def test_good_settings_take_their_defaults():
    settings = parse_settings(CONTROLLER, ControllerSettings)
    assert settings.timings.lease == 3.0


@pytest.mark.parametrize(
    ("text", "kind", "path"),
    [
        (CONTROLLER + "peer_port = 70000", ControllerSettings, "peer_port"),
        (CONTROLLER + "[timings]\nlease = 0.1", ControllerSettings, "timings.lease"),
        (CONTROLLER + "[timings]\nwatch = 0.0", ControllerSettings, "timings.watch"),
        (CONTROLLER + '[log]\nlevel = "loud"', ControllerSettings, "log.level"),
        (CONTROLLER + "nam = 1", ControllerSettings, ""),
        ('name = "g"\ncontrollers = []', GatewaySettings, "controllers"),
        ('name = "g"', GatewaySettings, ""),
        ("name = ", GatewaySettings, ""),
    ],
)
def test_each_fault_has_its_path(text, kind, path):
    parsed = parse_settings(text, kind)
    assert isinstance(parsed, Faults)
    assert any(path in fault.path for fault in parsed.faults)


def test_every_fault_is_named_at_once():
    text = CONTROLLER + "peer_port = -1\noperator_port = -1\n[timings]\nwatch = -1.0"
    assert len(parse_settings(text, ControllerSettings).faults) == 3
