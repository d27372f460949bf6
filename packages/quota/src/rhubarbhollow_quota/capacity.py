"""What a parent has to lease at one moment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_quota.quota import NO_QUOTA

if TYPE_CHECKING:
    from rhubarbhollow_quota.quota import Quota


@dataclass(frozen=True, slots=True)
class Capacity:
    """Hold a rate and a burst that may be leased to children.

    They are a part of the quota ``whole``. Leases granted now may be
    full for ``full_seconds`` and last for ``half_seconds``. The
    capacity falls to half at ``falls_at`` unless it is renewed. Tokens
    in hand may exceed the burst by ``excess``, which does not refill.
    """

    rate: float
    burst: float
    whole: Quota
    full_seconds: float
    half_seconds: float
    falls_at: float = float("inf")
    excess: float = 0.0


NO_CAPACITY: Final = Capacity(0.0, 0.0, NO_QUOTA, 0.0, 0.0)


class CapacitySource(Protocol):
    """Provide what a parent may lease."""

    def capacity(self, tenant: str, now: float) -> Capacity:
        """Return what may be leased of a tenant's quota."""
        ...

    def adopt(
        self, tenant: str, rate: float, burst: float, whole: Quota
    ) -> bool:
        """Count what a child holds from an earlier parent.

        Return false if what it holds is not part of this capacity.
        """
        ...
