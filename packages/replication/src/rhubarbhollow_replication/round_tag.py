"""Round numbers that tell one run of a follower from the next.

A follower that restarts forgets when it answered a round. A request
from before the restart, delivered late, would then seem to echo an
answer of now. Answers therefore carry, above the round's number, a
number that the follower draws when it starts; the leader returns both
in ``acked_round`` and looks at the lower part only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

ROUND_BITS: Final = 40
TAG_BITS: Final = 20


def generate_tag(random: Random) -> int:
    """Return the number of one run of a follower."""
    return random.getrandbits(TAG_BITS)


def tag_round(number: int, tag: int) -> int:
    """Return the round of an answer."""
    return tag << ROUND_BITS | number


def untag_round(tagged: int) -> int:
    """Return the number of the round that was answered."""
    return tagged & (1 << ROUND_BITS) - 1
