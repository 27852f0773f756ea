"""The cache of the generated methods of data classes."""

import dataclasses
import marshal
import sys

import pytest

from mallowpond.platform.method_cache import MethodCache, load


@pytest.fixture
def uninstalled():
    """Restore the built-in `exec` for data classes that are defined later."""
    yield
    MethodCache().uninstall()


def define():
    """Define a data class whose methods depend on its fields and options."""

    @dataclasses.dataclass(frozen=True, kw_only=True, order=True)
    class Place:
        name: str
        slots: int = 3
        groups: list = dataclasses.field(default_factory=list, hash=False)

    return Place


def test_classes_from_the_cache_behave_like_others(tmp_path, uninstalled):
    """Guards against a start with the file that differs from one without it."""
    expected = define()
    cache = MethodCache()
    cache.install()
    define()
    cache.save(tmp_path / "methods")
    loaded = load(tmp_path / "methods")
    loaded.install()
    size = len(loaded.codes)
    found = define()
    assert len(loaded.codes) == size > 0
    for cls in (expected, found):
        place = cls(name="a")
        assert (place.slots, place.groups) == (3, [])
        assert place.groups is not cls(name="a").groups
        assert repr(place).endswith("Place(name='a', slots=3, groups=[])")
        assert place == cls(name="a") < cls(name="b")
        assert hash(place) == hash(expected(name="a"))
        with pytest.raises(dataclasses.FrozenInstanceError):
            place.slots = 4
        with pytest.raises(TypeError):
            cls("a")


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"damaged",
        marshal.dumps(("another interpreter", {})),
        marshal.dumps((sys.version, [])),
        marshal.dumps(3),
    ],
)
def test_a_file_of_no_use_is_ignored(tmp_path, content):
    """Guards against a node that does not start because of the file of the build."""
    (tmp_path / "methods").write_bytes(content)
    assert load(tmp_path / "methods") is None
    assert load(tmp_path / "missing") is None
