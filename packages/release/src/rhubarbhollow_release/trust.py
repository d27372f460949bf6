"""Trust anchors, by which a process accepts approvals."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import (
        Ed25519PublicKey,
    )

    from rhubarbhollow_release.operator_channel import OperatorChannel

TrustAnchor: TypeAlias = "Ed25519PublicKey | OperatorChannel"
