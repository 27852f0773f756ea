"""A node starts with the packages of its own list, and no others."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
# What a package is imported as, where that is not its own name.
MODULES = {"markdown_it_py": "markdown_it", "Pygments": "pygments"}


def pins_of(name):
    """Return the pinned packages of a list."""
    lines = (ROOT / "requirements" / name).read_text().split()
    return {line.partition("==")[0]: line for line in lines}


def test_a_node_needs_no_package_of_the_command_line():
    """Symptom: a killed host's callers find nobody for longer than its start takes.

    Sequence: the start of a node imports the command line's packages.
    Cause: they were installed beside it, and a library that it needs imports some of
    them where they are there.
    """
    node, runtime = pins_of("node.txt"), pins_of("runtime.txt")
    assert node.items() <= runtime.items()
    absent = [MODULES.get(name, name) for name in runtime.keys() - node.keys()]
    code = (
        f"import sys; sys.modules.update(dict.fromkeys({absent!r}))\n"
        "import mallowpond.platform.program"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=60)
