"""A node needs only the packages of its own requirements list."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
# Import names of packages where they differ from the package name.
MODULES = {"markdown_it_py": "markdown_it", "Pygments": "pygments"}


def pinned_packages(name):
    """Return the pinned packages of a requirements list by name."""
    lines = (ROOT / "requirements" / name).read_text().split()
    return {line.partition("==")[0]: line for line in lines}


def test_a_node_needs_no_package_of_the_command_line():
    """A node must not import the command line's packages, which slow its start down.

    Callers of a killed host wait for that long. The packages were installed with the
    node's, and a library that it needs imports some of them if they are present.
    """
    node, runtime = pinned_packages("node.txt"), pinned_packages("runtime.txt")
    assert node.items() <= runtime.items()
    absent = [MODULES.get(name, name) for name in runtime.keys() - node.keys()]
    code = (
        f"import sys; sys.modules.update(dict.fromkeys({absent!r}))\n"
        "import mallowpond.platform.program"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=60)
