"""What nodes tell each other about requests that crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request was in flight when an upstream's incarnation crashed.

    ``at`` is the time of the crash in seconds of UTC since 1970.
    """

    fingerprint: bytes
    upstream: str
    incarnation: int
    at: float


@dataclass(frozen=True, slots=True)
class Exoneration:
    """A request completed after the crash that is named.

    It names the crash and not a time, so that it means the same in
    whatever order it arrives and however far clocks are apart.
    """

    fingerprint: bytes
    upstream: str
    incarnation: int
    at: float


QuarantineMessage: TypeAlias = CrashReport | Exoneration
