"""The settings of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_quota.tolerance import NO_TOLERANCE, QuotaTolerance
from rhubarbhollow_release.operator_channel import (
    CHANNEL_KEY_ID,
    OperatorChannel,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_daemon.settings_calls import CallsSettings
    from rhubarbhollow_daemon.settings_control import ControlSettings
    from rhubarbhollow_daemon.settings_distribution import DistributionSettings
    from rhubarbhollow_daemon.settings_drain import DrainSettings
    from rhubarbhollow_daemon.settings_instance import InstanceSettings
    from rhubarbhollow_daemon.settings_keys import ApprovalKey
    from rhubarbhollow_daemon.settings_listen import ListenSettings
    from rhubarbhollow_daemon.settings_logs import LogsSettings
    from rhubarbhollow_distribution.control_address import ControlAddress
    from rhubarbhollow_release.trust import TrustAnchor


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold the complete settings of one process of the mesh.

    ``control`` is ``None`` if the process runs no control instance.
    ``has_node`` is false where neither an upstream nor a caller runs
    beside the process.  ``has_channel`` trusts the operators' channel
    in addition to the approval keys.
    """

    mesh: str
    instance: InstanceSettings
    listen: ListenSettings
    advertise_host: str
    approval_keys: tuple[ApprovalKey, ...]
    controls: tuple[ControlAddress, ...]
    control: ControlSettings | None
    distribution: DistributionSettings
    calls: CallsSettings
    drain: DrainSettings
    logs: LogsSettings
    quota_tolerance: QuotaTolerance = NO_TOLERANCE
    has_node: bool = True
    has_channel: bool = False

    @property
    def trusted(self) -> Mapping[str, TrustAnchor]:
        """Return the trust anchors by key identifier."""
        trusted: dict[str, TrustAnchor] = {
            key.key_id: key.public for key in self.approval_keys
        }
        if self.has_channel:
            trusted[CHANNEL_KEY_ID] = OperatorChannel()
        return trusted
