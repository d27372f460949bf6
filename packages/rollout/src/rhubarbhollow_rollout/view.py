"""The form in which nodes get the rollout of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_rollout.messages import RolloutView
from rhubarbhollow_rollout.record import RolloutState

if TYPE_CHECKING:
    from rhubarbhollow_rollout.record import RolloutRecord

RUNNING: Final = 1
COMPLETED: Final = 2
ROLLED_BACK: Final = 3
# The share at which nodes send every call to the new version.
WHOLE_PERMILLE: Final = 1000

_CODES: Final = {
    RolloutState.RUNNING: RUNNING,
    RolloutState.COMPLETED: COMPLETED,
    RolloutState.ROLLED_BACK: ROLLED_BACK,
}


def to_view(record: RolloutRecord) -> RolloutView:
    """Return what nodes have to know of a rollout."""
    return RolloutView(
        record.service,
        record.number,
        record.revision,
        record.new_version,
        record.stable_version,
        _CODES[record.state],
        record.share_permille,
        record.step,
    )


def is_usable(view: RolloutView) -> bool:
    """Return whether a view from another process can be used."""
    return (
        view.state in (RUNNING, COMPLETED, ROLLED_BACK)
        and 0 <= view.share_permille <= WHOLE_PERMILLE
        and view.step >= 0
    )
