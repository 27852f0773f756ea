"""Choose which peers are asked to carry a connection, and in which order."""

import random
from collections.abc import Mapping

# Maximum number of peers that are asked for one connection.
MAX_PROXIES = 4


def rank_proxies(
    peers: Mapping[str, str], data_centre: str, rng: random.Random
) -> list[str]:
    """Return the peers to ask, at random within the data centres that are preferred.

    `peers` maps each peer to its data centre. The first one is in the target's
    `data_centre`, if any is: no more bytes then cross between data centres than on the
    direct way. The second one is in another data centre than the first, as all hosts
    of one may be cut off together.
    """
    names = rng.sample(sorted(peers), len(peers))
    names.sort(key=lambda name: peers[name] != data_centre)
    if len(names) > 2 and peers[names[1]] == peers[names[0]]:
        first = peers[names[0]]
        other = next((name for name in names[2:] if peers[name] != first), None)
        if other is not None:
            names.remove(other)
            names.insert(1, other)
    return names[:MAX_PROXIES]
