"""Bounds on what one HTTP message may take of a node's memory."""

from __future__ import annotations

from typing import Final

MAX_HEAD_BYTES: Final = 32_768
MAX_FIELDS: Final = 100
MAX_TARGET_BYTES: Final = 8_192
MAX_REQUEST_ID_BYTES: Final = 128
MAX_INTEGER_DIGITS: Final = 18
MAX_DEPTH: Final = 32
MAX_REPLAY_BYTES: Final = 65_536
MAX_DISCARDED_BYTES: Final = 262_144
