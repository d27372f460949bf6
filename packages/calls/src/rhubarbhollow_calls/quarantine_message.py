"""Messages between nodes about requests that crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report a request in flight when an upstream crashed.

    ``at`` is the time of the crash in seconds of UTC since 1970.
    """

    fingerprint: bytes
    upstream: str
    incarnation: int
    at: float


@dataclass(frozen=True, slots=True)
class Exoneration:
    """Clear a request of one crash, after which it completed.

    It identifies the crash by upstream and incarnation rather than by
    time, so that its meaning does not depend on the order of arrival or
    on clock skew.
    """

    fingerprint: bytes
    upstream: str
    incarnation: int
    at: float


QuarantineMessage: TypeAlias = CrashReport | Exoneration
