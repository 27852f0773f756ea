"""Choose which peers are asked to carry a connection, and in which order."""

import random
from collections.abc import Mapping, Sequence

# Maximum number of peers that are asked for one connection.
MAX_PROXIES = 4


def rank_proxies(
    peers: Mapping[str, Sequence[str]], data_centre: str, rng: random.Random
) -> list[str]:
    """Return a few peers, to be asked in this order.

    `peers` are the names of the peers by data centre. The first one is in the target's
    `data_centre`, if any is: no more bytes then cross between data centres than on the
    direct way. The second one is in another data centre than the first, as all hosts
    of one may be cut off together. The others are of any.
    """
    centres = [centre for centre, names in peers.items() if names]
    if not centres:
        return []
    first = data_centre if data_centre in centres else _draw_centre(peers, centres, rng)
    ranked = [rng.choice(peers[first])]
    others = [centre for centre in centres if centre != first]
    if others:
        ranked.append(rng.choice(peers[_draw_centre(peers, others, rng)]))
    missing = min(MAX_PROXIES, sum(map(len, peers.values()))) - len(ranked)
    for _ in range(4 * missing):
        name = rng.choice(peers[_draw_centre(peers, centres, rng)])
        if name not in ranked and len(ranked) < MAX_PROXIES:
            ranked.append(name)
    return ranked


def _draw_centre(
    peers: Mapping[str, Sequence[str]], centres: list[str], rng: random.Random
) -> str:
    """Draw a data centre, each in proportion to its peers."""
    weights = [len(peers[centre]) for centre in centres]
    return rng.choices(centres, weights)[0]
