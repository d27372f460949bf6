"""What a quota says about one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeAlias


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the quota, and has been counted."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The parent has been asked for a token."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The quota is used up; a token is expected after a while."""

    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """No share is held, and no parent can be reached."""


Verdict: TypeAlias = Admitted | Wait | OverQuota | Unconfirmed
ADMITTED: Final = Admitted()
WAIT: Final = Wait()
UNCONFIRMED: Final = Unconfirmed()
