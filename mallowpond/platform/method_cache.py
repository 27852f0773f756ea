"""Cache the compiled methods of data classes between starts of a node.

The `dataclass` decorator generates the methods of each class as source text, which
Python compiles anew at each start: 198 classes took 0.16 to 0.22 s of the 0.40 to
0.57 s of processor time that the imports of a node take. The build writes the compiled
methods to a file beside this module. They are looked up by their complete source text,
so a file that does not match the classes costs time but changes nothing.
"""

import dataclasses
import marshal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import CodeType
from typing import Any

CACHE_PATH = Path(__file__).with_name("methods.bin")


class MethodCache:
    """Executes the source text of generated methods, compiled once for each text."""

    def __init__(self, codes: dict[str, CodeType] | None = None) -> None:
        self.codes = {} if codes is None else codes

    def execute(
        self, text: str, names: dict[str, Any], found: dict[str, Any] | None = None
    ) -> None:
        """Do what the built-in `exec` does with source text."""
        code = self.codes.get(text)
        if code is None:
            code = self.codes[text] = compile(text, "<string>", "exec")
        exec(code, names, found)

    def install(self) -> None:
        """Use this cache for all data classes that are defined from now on.

        `dataclasses` calls `exec` by its global name, so a global of that module takes
        the place of the built-in function.
        """
        dataclasses.exec = self.execute  # type: ignore[attr-defined]

    def uninstall(self) -> None:
        """Compile the methods of later data classes as usual."""
        dataclasses.__dict__.pop("exec", None)

    def save(self, path: Path) -> None:
        """Write the compiled methods for this version of the interpreter."""
        path.write_bytes(marshal.dumps((sys.version, self.codes)))


def load(path: Path) -> MethodCache | None:
    """Return the cache in a file, None if this interpreter cannot use it."""
    try:
        version, codes = marshal.loads(path.read_bytes())
    except (OSError, ValueError, EOFError, TypeError):
        return None
    if version != sys.version or not isinstance(codes, dict):
        return None
    return MethodCache(codes)


@contextmanager
def saved_methods() -> Iterator[None]:
    """Use the file that the build wrote, if there is one, for the imports inside.

    The file of 1 MB is not kept in memory after them.
    """
    cache = load(CACHE_PATH) or MethodCache()
    cache.install()
    try:
        yield
    finally:
        cache.uninstall()


def build() -> None:
    """Write the file for all data classes that a node defines."""
    cache = MethodCache()
    cache.install()
    import mallowpond.platform.program  # noqa: F401

    cache.save(CACHE_PATH)


if __name__ == "__main__":
    build()
