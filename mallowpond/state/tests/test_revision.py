"""Order of the store's versions over its eras."""

from hypothesis import given
from hypothesis import strategies as st

from mallowpond.state.revision import (
    MAX_ERA,
    MAX_VERSION,
    era_of,
    is_later_era,
    make_revision,
    version_of,
)

ERAS = st.integers(0, MAX_ERA)
VERSIONS = st.integers(1, MAX_VERSION)


@given(ERAS, VERSIONS, ERAS, VERSIONS)
def test_a_revision_of_a_later_era_is_higher_whatever_its_version(a, v, b, w):
    """Guards against versions of two eras that are compared by their numbers."""
    first, second = make_revision(a, v), make_revision(b, w)
    assert (era_of(first), version_of(first)) == (a, v)
    assert (first < second) == ((a, v) < (b, w))
    assert is_later_era(second, first) == (b > a)


def test_a_first_revision_is_of_no_later_era():
    assert not is_later_era(make_revision(7, 1), 0)


def test_without_eras_a_revision_is_the_version():
    assert make_revision(0, 41) == 41
