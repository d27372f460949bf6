"""Garbage collector settings that keep collections out of calls."""

from __future__ import annotations

import gc
from typing import Final

# Thresholds for ``gc.set_threshold``: net allocations before a
# collection of generation 0, and collections of the next younger
# generation before one of generations 1 and 2.
GENERATION_0_THRESHOLD: Final = 10_000
GENERATION_1_THRESHOLD: Final = 20
GENERATION_2_THRESHOLD: Final = 50


def freeze_startup_objects() -> None:
    """Exclude start-up objects from collection and collect less often.

    Calls are freed by reference counting, since an exchange drops its
    attempt when that ends.  Collections therefore find next to nothing,
    but would traverse the objects of all modules each time.  Call this
    once, after start-up.  It does not collect first: that takes a tenth
    of a start, for which callers wait, and frees a few hundred objects.
    """
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
    # The program may have disabled collections during start-up.
    gc.enable()
