"""Round numbers tagged with the process run of a follower.

A restarted follower has lost the times of its replies. A delayed
request from before the restart would then appear to echo a reply sent
after it. Each follower therefore generates a random tag on startup and
puts it in the bits above the round number of every reply. The leader
returns both in ``acked_round`` and uses the round number only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

ROUND_BITS: Final = 40
TAG_BITS: Final = 20


def generate_tag(random: Random) -> int:
    """Return a random tag for one process run of a follower."""
    return random.getrandbits(TAG_BITS)


def tag_round(number: int, tag: int) -> int:
    """Combine a round number with a follower's tag."""
    return tag << ROUND_BITS | number


def untag_round(tagged: int) -> int:
    """Return the round number without the follower's tag."""
    return tagged & (1 << ROUND_BITS) - 1
