"""The union of messages that ``NodeFeed`` sends to a node.

A control instance also sends messages outside this union.
"""

from __future__ import annotations

from typing import TypeAlias

from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.redirect import Redirect
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.welcome import Welcome

ControlMessage: TypeAlias = (
    Activate | ControlHeartbeat | EndpointChange | Redirect | Stage | Welcome
)
