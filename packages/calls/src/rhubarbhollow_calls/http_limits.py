"""Limits on the memory that an HTTP message may use in a node."""

from __future__ import annotations

from typing import Final

MAX_HEAD_BYTES: Final = 32_768
MAX_FIELDS: Final = 100
MAX_TARGET_BYTES: Final = 8_192
MAX_REQUEST_ID_BYTES: Final = 128
MAX_INTEGER_DIGITS: Final = 18
# Nested calls of this depth or more are refused, which ends loops.
MAX_DEPTH: Final = 32
# Longest request body that is kept for another attempt.
MAX_REPLAY_BYTES: Final = 65_536
# Longest request body that is read whole while its request waits, and
# the bytes of all such bodies at one node. A node has 200 MB.
MAX_WAITING_BODY_BYTES: Final = 4_194_304
MAX_WAITING_BODIES_BYTES: Final = 33_554_432
# Bytes discarded on a closing connection before it is aborted.
MAX_DISCARDED_BYTES: Final = 262_144
# Bytes of responses to other requests that an attempt skips before its
# own response.
MAX_SKIPPED_BYTES: Final = 1_048_576
# Pipelined calls of one connection that run at the same time.
MAX_OVERLAPPING_CALLS: Final = 16
# Bytes of responses that one connection holds until their turn.
MAX_HELD_BYTES: Final = 262_144
