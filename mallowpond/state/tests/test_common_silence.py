"""Which silences count as common to nearly all groups."""

import pytest

from mallowpond.state.common_silence import (
    COMMON_SHARE,
    MIN_GROUPS,
    WatchedGroup,
    is_common,
    summarize_silence,
)
from mallowpond.state.silence import ADVANCE_SHARE

SILENT_SECONDS = 0.3
# Silence of a group whose events go on.
GAP_SECONDS = 0.05


def _groups(domains: str, silent: str) -> list[WatchedGroup]:
    """Return groups by the letters of their domains, silent in some of them."""
    return [
        WatchedGroup(
            domain=domain,
            silent_seconds=SILENT_SECONDS if domain in silent else GAP_SECONDS,
        )
        for domain in domains
    ]


def _is_common(groups: list[WatchedGroup], *, serving: int, domains: int) -> bool:
    summary = summarize_silence(groups, SILENT_SECONDS)
    return is_common(summary, groups=serving, domains=domains)


def test_the_silence_of_all_groups_of_several_domains_is_common():
    assert _is_common(_groups("aabbcc", "abc"), serving=6, domains=3)


@pytest.mark.parametrize(
    ("domains", "dark"),
    [("aaaaaaaa", 1), ("aabbccdd", 2), ("abcdefabcdef", 3), ("aabbcc", 2)],
)
def test_the_silence_of_dark_domains_is_not_common(domains, dark):
    """Guards against streams that stay on dead groups while others could take them."""
    names = sorted(set(domains) | {"z"})
    groups = _groups(domains + "z" * (domains.count("a")), "".join(names[:dark]))
    assert not _is_common(groups, serving=len(groups), domains=len(names))


def test_two_of_three_dark_domains_are_not_common():
    groups = _groups("abc" * 4, "ab")
    assert not _is_common(groups, serving=12, domains=3)


def test_a_single_group_that_still_advances_does_not_explain_the_silence_of_many():
    """Guards against a pause of most engines that leaves a few groups untouched."""
    groups = _groups("abcdef" * 2 + "z", "abcdef")
    assert _is_common(groups, serving=13, domains=7)


def test_too_few_watched_groups_are_no_evidence():
    """Guards against hosts with few streams that take one dead domain for all."""
    for count in range(MIN_GROUPS):
        groups = _groups("abcdefgh"[:count], "abcdefgh")
        assert not _is_common(groups, serving=14, domains=6)
    assert _is_common(_groups("abcdefgh"[:MIN_GROUPS], "abc"), serving=14, domains=6)


def test_groups_of_one_domain_are_no_evidence_where_others_serve():
    groups = _groups("aaaaaa", "a")
    assert not _is_common(groups, serving=14, domains=6)
    assert not _is_common(groups, serving=7, domains=2)


def test_in_a_fleet_of_one_domain_its_groups_suffice():
    assert _is_common(_groups("aaaa", "a"), serving=4, domains=1)


def test_in_a_small_fleet_all_of_its_groups_suffice_but_never_one_alone():
    """Guards against a lone group that is never suspected."""
    assert _is_common(_groups("ab", "ab"), serving=2, domains=2)
    assert not _is_common(_groups("ab", "a"), serving=2, domains=2)
    assert not _is_common(_groups("a", "a"), serving=2, domains=2)
    assert not _is_common(_groups("a", "a"), serving=1, domains=1)
    assert not _is_common([], serving=0, domains=0)


def test_a_group_that_is_busy_with_a_prefill_alone_is_not_common():
    """Guards against a long prefill that hides the death of another group."""
    groups = [
        *_groups("bcd", ""),
        WatchedGroup(domain="a", silent_seconds=2.0 * SILENT_SECONDS),
        WatchedGroup(domain="e", silent_seconds=SILENT_SECONDS),
    ]
    assert not _is_common(groups, serving=5, domains=5)


def test_groups_that_were_silent_before_count_as_silent():
    """Guards against a prefill under way that makes a common silence look like some."""
    groups = [
        *_groups("bcde", "bcde"),
        WatchedGroup(domain="a", silent_seconds=4.0 * SILENT_SECONDS),
    ]
    summary = summarize_silence(groups, SILENT_SECONDS)
    assert (summary.groups, summary.domains, summary.silent) == (5, 5, 5)
    assert is_common(summary, groups=5, domains=5)


def test_a_group_counts_as_silent_until_it_has_sent_an_event_since():
    """Guards against groups whose last events lie a pass apart."""
    since = ADVANCE_SHARE * SILENT_SECONDS
    groups = [
        WatchedGroup(domain="a", silent_seconds=since + 0.001),
        WatchedGroup(domain="b", silent_seconds=since - 0.001),
    ]
    assert summarize_silence(groups, SILENT_SECONDS).silent == 1


def test_the_share_of_silent_groups_decides():
    groups = 20
    least = round(COMMON_SHARE * groups)
    for silent in (least - 1, least):
        watched = _groups("ab" * (silent // 2) + "a" * (silent % 2), "ab")
        watched += _groups("c" * (groups - silent), "")
        is_expected = silent >= least
        assert _is_common(watched, serving=groups, domains=3) is is_expected
