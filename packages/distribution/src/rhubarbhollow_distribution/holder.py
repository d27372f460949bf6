"""The staged releases of a node and the one in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_distribution.activation_result import (
    Activated,
    ActivateFault,
    ActivateOutcome,
    ActivationDigestMismatch,
    AlreadyActive,
    NotStaged,
)
from rhubarbhollow_distribution.holder_view import HolderView
from rhubarbhollow_distribution.invariant import check_invariant
from rhubarbhollow_distribution.position_check import PositionCheck
from rhubarbhollow_distribution.release_verification import verify_release
from rhubarbhollow_distribution.stage_fault import (
    ConflictingDigest,
    NeedsDifference,
    StageFault,
    StalePosition,
)
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_release.difference import EMPTY_DIGEST

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_distribution.held_release import HeldRelease
    from rhubarbhollow_distribution.stage import Stage
    from rhubarbhollow_release.trust import TrustAnchor
    from rhubarbhollow_wire.clock import Clock

MAX_STAGED_RELEASES: Final = 8

_NO_BASE: Final = (b"", EMPTY_DIGEST)


class ReleaseHolder:
    """Stage complete releases and keep one of them in force.

    A release is stored only after its approval, digest and references
    were verified.  Activation replaces a single reference, so a call
    uses the same release from start to end.  The active position never
    decreases.
    """

    def __init__(
        self,
        mesh: str,
        trusted: Mapping[str, TrustAnchor],
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._trusted = trusted
        self._clock = clock
        self._active: HeldRelease | None = None
        self._active_position = 0
        self._active_since = clock.monotonic()
        self._staged: dict[int, HeldRelease] = {}
        self._refused_count = 0
        self._last_refusal: StageFault | None = None

    @property
    def active(self) -> HeldRelease | None:
        """Return the release in force, or ``None`` before the first."""
        return self._active

    @property
    def active_position(self) -> int:
        """Return the position in force, or 0 before the first."""
        return self._active_position

    @property
    def active_digest(self) -> bytes:
        """Return the digest in force, or ``EMPTY_DIGEST``."""
        return self._active.digest if self._active else EMPTY_DIGEST

    @property
    def floor(self) -> int:
        """Return the position below which no release is staged."""
        return self._active_position

    @property
    def staged_positions(self) -> tuple[int, ...]:
        """Return the positions that are staged and not yet in force."""
        return tuple(sorted(self._staged))

    @property
    def staged_position(self) -> int:
        """Return the highest position held, staged or in force."""
        return max(self._staged, default=self._active_position)

    @property
    def held_digest(self) -> bytes:
        """Return the digest at the highest position held."""
        held = self._held_at(self.staged_position)
        return held.digest if held else EMPTY_DIGEST

    def stage(self, message: Stage) -> Result[StagedReport, StageFault]:
        """Verify and store the release that ``message`` carries.

        An error changes only the refusal count and the last refusal.  A
        repeated message returns the same report again.
        """
        outcome = self._stage(message)
        if isinstance(outcome, Err):
            self._refused_count += 1
            self._last_refusal = outcome.err_value
        return outcome

    def activate(
        self,
        position: int,
        digest: bytes,
    ) -> Result[ActivateOutcome, ActivateFault]:
        """Put the staged release at ``position`` in force."""
        if position < self._active_position:
            return Ok(AlreadyActive(self._active_position))
        held = self._held_at(position)
        if held is None:
            return Err(
                NotStaged(position, self.staged_position, self.held_digest)
            )
        if held.digest != digest:
            return Err(ActivationDigestMismatch(position, held.digest, digest))
        if position == self._active_position:
            return Ok(AlreadyActive(position))
        return Ok(self._swap(held))

    def observe_position(self, position: int) -> PositionCheck:
        """Compare the position carried by a call with the active one.

        If the release at ``position`` is staged here, it is activated
        immediately: a call carries only positions that are in force on
        the node that routed it.  ``BEHIND`` means that this node cannot
        route the call at that position yet.
        """
        if position <= self._active_position:
            return PositionCheck.CURRENT
        held = self._staged.get(position)
        # Before a restart this node may have applied a higher position
        # than the caller's.  Without a release in force, only the start
        # rule decides where it starts.
        if held is None or self._active is None:
            return PositionCheck.BEHIND
        self._swap(held)
        return PositionCheck.ACTIVATED

    def explain(self) -> HolderView:
        """Return a summary of the held releases for operators."""
        active = self._active
        refusal = self._last_refusal
        return HolderView(
            mesh=self._mesh,
            active_position=self._active_position,
            active_version=active.version if active else 0,
            active_digest=self.active_digest,
            active_since_seconds=self._clock.monotonic() - self._active_since,
            staged_positions=self.staged_positions,
            refused_count=self._refused_count,
            last_refusal=type(refusal).__name__ if refusal else "",
        )

    def _stage(self, message: Stage) -> Result[StagedReport, StageFault]:
        if message.position < self._active_position:
            return Err(StalePosition(message.position, self._active_position))
        held = self._held_at(message.position)
        if held is not None:
            return _confirm_held(held, message)
        base = self._find_base(message.base_digest)
        if base is None and message.base_digest not in _NO_BASE:
            return Err(NeedsDifference(self.staged_position, self.held_digest))
        opened = verify_release(message, base, self._mesh, self._trusted)
        if isinstance(opened, Err):
            return opened
        self._store(opened.ok_value)
        return Ok(StagedReport(message.position, message.digest))

    def _store(self, release: HeldRelease) -> None:
        check_invariant(
            release.position > self._active_position,
            "a staged position is above the active position",
        )
        self._make_room(release.position)
        self._staged[release.position] = release

    def _make_room(self, position: int) -> None:
        """Discard a staged release if there are too many for another.

        A source that knows what this node holds sends a full node only
        the release that is in force elsewhere. Older ones will then not
        be activated any more. If there is none, the newest one is the
        last to be activated. A source that does not know may send a
        newer one; if the discarded one is activated after all, the node
        requests it again.
        """
        if len(self._staged) < MAX_STAGED_RELEASES:
            return
        oldest = min(self._staged)
        discarded = oldest if oldest < position else max(self._staged)
        del self._staged[discarded]

    def _swap(self, release: HeldRelease) -> Activated:
        previous = self._active_position
        check_invariant(
            release.position > previous,
            "an activated position is above the previous one",
        )
        # A single assignment, so that readers see either the old or the
        # new release.
        self._active = release
        self._active_position = release.position
        self._active_since = self._clock.monotonic()
        self._staged = {
            position: staged
            for position, staged in self._staged.items()
            if position > release.position
        }
        return Activated(release.position, previous)

    def _held_at(self, position: int) -> HeldRelease | None:
        if self._active is not None and position == self._active_position:
            return self._active
        return self._staged.get(position)

    def _find_base(self, digest: bytes) -> HeldRelease | None:
        if self._active is not None and self._active.digest == digest:
            return self._active
        return next(
            (held for held in self._staged.values() if held.digest == digest),
            None,
        )


def _confirm_held(
    held: HeldRelease,
    message: Stage,
) -> Result[StagedReport, StageFault]:
    if held.digest != message.digest:
        return Err(
            ConflictingDigest(message.position, held.digest, message.digest)
        )
    return Ok(StagedReport(message.position, message.digest))
