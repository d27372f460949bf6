"""Checks of the fields of a resource without the JSON Schema library.

Nodes use these checks, since they do not load the library.  The checks
accept exactly what ``manifest.schema.json`` accepts in a resource that
has all its fields; a test compares the two.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Final, TypeAlias

FieldCheck: TypeAlias = Callable[[object], bool]

MAX_VERSION: Final = (1 << 53) - 1
MAX_DEPENDENCIES: Final = 256
MAX_HOST_CHARACTERS: Final = 255
MAX_PREFIX_CHARACTERS: Final = 1024
MAX_TIMEOUT_MS: Final = 600_000
MAX_ATTEMPTS: Final = 10
MAX_SPLITS: Final = 256
MAX_WEIGHT: Final = 1_000_000_000
MAX_RANK: Final = 1_000
MAX_ANNOTATION_CHARACTERS: Final = 1 << 20
MAX_KEYS: Final = 64
MAX_RATE: Final = 1_000_000_000
MAX_TITLE_CHARACTERS: Final = 128

_NAME: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_HOST: Final = re.compile(
    r"\*|[a-z0-9]([a-z0-9.-]*[a-z0-9])?(:[0-9]{1,5})?",
)
_PREFIX: Final = re.compile(r'/[!"$-.0-;=@-~/]*')

_DIGEST: Final = re.compile("[0-9a-f]{64}")
# Titles are sent in header fields, one of which uses semicolons.
_TITLE: Final = re.compile(
    r"[!-:<-~\u00a1-\ud7ff]([ -:<-~\u00a1-\ud7ff]*[!-:<-~\u00a1-\ud7ff])?"
)


def is_name(value: object) -> bool:
    """Return whether a value is a valid mesh or resource name."""
    return isinstance(value, str) and bool(_NAME.fullmatch(value))


def is_host(value: object) -> bool:
    """Return whether a value is ``*`` or an exact lower-case host."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_HOST_CHARACTERS
        and bool(_HOST.fullmatch(value))
    )


def is_prefix(value: object) -> bool:
    """Return whether a value is a path prefix without a query."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_PREFIX_CHARACTERS
        and bool(_PREFIX.fullmatch(value))
    )


def is_flag(value: object) -> bool:
    """Return whether a value is a boolean."""
    return isinstance(value, bool)


def is_dependency_list(value: object) -> bool:
    """Return whether a value is a list of distinct names."""
    return (
        isinstance(value, list)
        and len(value) <= MAX_DEPENDENCIES
        and all(is_name(name) for name in value)
        and len(set(value)) == len(value)
    )


def is_priority(value: object) -> bool:
    """Return whether a value is the name of a priority."""
    return isinstance(value, str) and value in {"interactive", "bulk"}


def is_timeout_ms(value: object) -> bool:
    """Return whether a value is a timeout in milliseconds."""
    return type(value) is int and 1 <= value <= MAX_TIMEOUT_MS


def is_attempts(value: object) -> bool:
    """Return whether a value is a valid number of attempts."""
    return type(value) is int and 1 <= value <= MAX_ATTEMPTS


def is_budget_ratio(value: object) -> bool:
    """Return whether a value is a ratio from 0 to 1, inclusive."""
    return type(value) in {int, float} and 0 <= value <= 1  # type: ignore[operator]


def is_objective_ratio(value: object) -> bool:
    """Return whether a value is a ratio between 0 and 1, exclusive."""
    return type(value) in {int, float} and 0 < value < 1  # type: ignore[operator]


def is_weight(value: object) -> bool:
    """Return whether a value is the weight of a split, 0 included."""
    return type(value) in {int, float} and 0 <= value <= MAX_WEIGHT  # type: ignore[operator]


def is_rank(value: object) -> bool:
    """Return whether a value is a rank, which orders queued calls.

    Calls of rank 0 are served first.
    """
    return type(value) is int and 0 <= value <= MAX_RANK


def is_annotation(value: object) -> bool:
    """Return whether a value is a string of an allowed length."""
    return isinstance(value, str) and (
        0 < len(value) <= MAX_ANNOTATION_CHARACTERS
    )


def is_key_digest_list(value: object) -> bool:
    """Return whether a value is a list of distinct SHA-256 digests."""
    return (
        isinstance(value, list)
        and len(value) <= MAX_KEYS
        and all(
            isinstance(digest, str) and _DIGEST.fullmatch(digest)
            for digest in value
        )
        and len(set(value)) == len(value)
    )


def is_rate(value: object) -> bool:
    """Return whether a value is a rate or a burst, 0 for no limit."""
    return type(value) in {int, float} and 0 <= value <= MAX_RATE  # type: ignore[operator]


def is_title(value: object) -> bool:
    """Return whether a value is a name that a header field can hold."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_TITLE_CHARACTERS
        and bool(_TITLE.fullmatch(value))
    )


def optional(check: FieldCheck) -> FieldCheck:
    """Return a check that also accepts ``None``."""
    return lambda value: value is None or check(value)


def is_version(value: object) -> bool:
    """Return whether a value is a valid manifest version."""
    return type(value) is int and 1 <= value <= MAX_VERSION
