"""Keeping the garbage collector off the path of calls."""

from __future__ import annotations

import gc
from typing import Final

YOUNG_OBJECTS: Final = 10_000
YOUNG_COLLECTIONS: Final = 20
MIDDLE_COLLECTIONS: Final = 50


def freeze_startup_objects() -> None:
    """Exempt what start-up made, and collect more seldom after it.

    Calls are freed by their reference counts, since an exchange lets go
    of its attempt when that ends; collections find next to nothing, but
    would look at all modules each time.  Call it once, after start-up.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
    # a program may have put collections off until it serves
    gc.enable()
