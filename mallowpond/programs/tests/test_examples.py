"""The settings under examples/ are valid and match the reference layout."""

from pathlib import Path

import pytest

from mallowpond.protocol.declaration_file import parse_declaration
from mallowpond.settings import (
    ControllerSettings,
    EngineStandinSettings,
    GatewaySettings,
    PlatformStandinSettings,
    load_settings,
)
from mallowpond.state.declarations import Declaration

FOLDER = Path(__file__).parents[3] / "examples" / "reference"
KINDS = {
    "controller": ControllerSettings,
    "gateway": GatewaySettings,
    "engine": EngineStandinSettings,
    "platform": PlatformStandinSettings,
}


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.toml")), ids=lambda p: p.name)
def test_example_is_valid(path):
    if path.name == "declaration.toml":
        assert isinstance(parse_declaration(path.read_text()), Declaration)
        return
    kind = KINDS[path.stem.rstrip("0123456789")]
    assert isinstance(load_settings(path, kind), kind)


def test_layout_is_the_reference():
    names = [path.stem.rstrip("0123456789") for path in FOLDER.glob("*.toml")]
    counts = {kind: names.count(kind) for kind in KINDS}
    assert counts == {"controller": 2, "gateway": 2, "engine": 8, "platform": 1}
