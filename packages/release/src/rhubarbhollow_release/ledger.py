"""The replicated order of releases.

A pure state machine: equal commands in equal order give equal states
and outcomes on every replica, now and in a later replay of the log.
So ``apply`` does not look at the trusted keys: they are settings, and
replicas whose settings differ while a key is replaced would give one
position to two releases.  Signatures are checked before a command is
proposed, may be checked before it is stored, and are checked by every
node before it applies a release.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from rhubarbhollow_release.answer_book import AnswerBook
from rhubarbhollow_release.approval import (
    Approval,
    check_terms,
    verify_approval,
)
from rhubarbhollow_release.command import (
    ActivateRelease,
    Command,
    SubmitRelease,
)
from rhubarbhollow_release.difference import (
    EMPTY_DIGEST,
    apply_difference,
    diff_resources,
)
from rhubarbhollow_release.difference_codec import (
    decode_difference,
    encode_difference,
)
from rhubarbhollow_release.difference_fault import (
    DifferenceFault,
    DifferenceFaultKind,
)
from rhubarbhollow_release.invariant_violation import InvariantViolation
from rhubarbhollow_release.kept_release import KeptRelease
from rhubarbhollow_release.ledger_state import LedgerState
from rhubarbhollow_release.outcome import (
    Accepted,
    Activated,
    ActivationOutcome,
    AlreadyAccepted,
    AlreadyActivated,
    BaseMoved,
    NotActivatable,
    Outcome,
    RefusalFault,
    Refused,
    StaleVersion,
    SubmissionOutcome,
    Superseded,
    VersionConflict,
)
from rhubarbhollow_release.release import Release
from rhubarbhollow_release.release_history import ReleaseHistory
from rhubarbhollow_release.release_record import ReleaseRecord
from rhubarbhollow_release.resource_set import (
    ResourceSet,
    join_resources,
    split_manifest,
)
from rhubarbhollow_release.snapshot import (
    SnapshotFault,
    SnapshotFaultKind,
    decode_state,
    encode_state,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_release.approval_fault import ApprovalFault
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.trust import TrustAnchor


class ReleaseLedger:
    """Decide which releases exist and which one is in force."""

    def __init__(
        self,
        mesh: str,
        trusted: Mapping[str, TrustAnchor],
        state: LedgerState | None = None,
    ) -> None:
        state = state or LedgerState(mesh)
        self._mesh = mesh
        self._trusted = dict(trusted)
        self._active_position = state.active_position
        self._answers = AnswerBook(state.records, state.forgotten_version)
        self._history = ReleaseHistory(state.releases)

    @property
    def mesh(self) -> str:
        """Return the mesh's name."""
        return self._mesh

    @property
    def latest(self) -> Release | None:
        """Return the release accepted last."""
        return self._history.find(self.latest_position)

    @property
    def active(self) -> Release | None:
        """Return the release in force."""
        return self._history.find(self._active_position)

    @property
    def latest_position(self) -> int:
        """Return the latest release's position, 0 before the first."""
        return self._history.latest_position

    @property
    def active_position(self) -> int:
        """Return the active release's position, 0 before the first."""
        return self._active_position

    @property
    def highest_version(self) -> int:
        """Return the highest accepted version, 0 before the first."""
        return self._answers.highest_version

    @property
    def records(self) -> tuple[ReleaseRecord, ...]:
        """Return the kept records, the oldest first."""
        return self._answers.records

    @classmethod
    def restore(
        cls,
        snapshot: bytes,
        mesh: str,
        trusted: Mapping[str, TrustAnchor],
    ) -> Result[ReleaseLedger, SnapshotFault]:
        """Return the ledger that a snapshot was taken of."""
        decoded = decode_state(snapshot)
        if isinstance(decoded, Err):
            return decoded
        state = decoded.ok_value
        if state.mesh != mesh:
            fault = SnapshotFault(SnapshotFaultKind.OTHER_MESH, state.mesh)
            return Err(fault)
        return Ok(cls(mesh, trusted, state))

    def snapshot(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""
        return encode_state(
            LedgerState(
                mesh=self._mesh,
                active_position=self._active_position,
                forgotten_version=self._answers.forgotten_version,
                records=self._answers.records,
                releases=self._history.kept,
            ),
        )

    def release_at(self, position: int) -> Release | None:
        """Return a release that is still kept."""
        return self._history.find(position)

    def resources_at(self, position: int) -> ResourceSet | None:
        """Return the content of a release that is still kept."""
        release = self._history.find(position)
        return release.resources if release else None

    def find_answer(
        self,
        version: int,
        digest: bytes,
    ) -> AlreadyAccepted | None:
        """Return the first answer to a submission that was accepted."""
        record = self._answers.find(version)
        if record is None or record.digest != digest:
            return None
        return AlreadyAccepted(record.position, version, digest)

    def plan_submission(
        self,
        manifest: Manifest,
        approval: Approval,
    ) -> Result[SubmitRelease, ApprovalFault]:
        """Build the command that submits a parsed manifest.

        It starts from the latest release; when another one is accepted
        before it, the outcome is ``BaseMoved`` and a new plan is due.
        A release that was accepted before is planned without content
        and whoever signed it, since its key may have been replaced.
        """
        return self.plan_resources(split_manifest(manifest), approval)

    def plan_resources(
        self,
        target: ResourceSet,
        approval: Approval,
    ) -> Result[SubmitRelease, ApprovalFault]:
        """Build the command that submits a manifest's resources."""
        version = target.header.version
        if self.find_answer(version, target.digest) is not None:
            return self._plan_repeat(target, approval)
        verified = verify_approval(
            approval,
            mesh=self._mesh,
            version=version,
            digest=target.digest,
            trusted=self._trusted,
        )
        if isinstance(verified, Err):
            return verified
        base = self.latest.resources if self.latest else None
        difference = diff_resources(base, target)
        return Ok(
            SubmitRelease(
                difference.base_digest,
                encode_difference(difference),
                approval,
            ),
        )

    def _plan_repeat(
        self,
        target: ResourceSet,
        approval: Approval,
    ) -> Result[SubmitRelease, ApprovalFault]:
        terms = check_terms(
            approval,
            mesh=self._mesh,
            version=target.header.version,
            digest=target.digest,
        )
        if isinstance(terms, Err):
            return terms
        return Ok(SubmitRelease(target.digest, b"", approval))

    def check_signature(
        self,
        approval: Approval,
    ) -> Result[None, ApprovalFault]:
        """Check by the local settings that a trusted key has signed.

        A replica may call this before it stores a submission.
        """
        return verify_approval(
            approval,
            mesh=self._mesh,
            version=approval.version,
            digest=approval.digest,
            trusted=self._trusted,
        )

    def apply(self, command: Command) -> Outcome:
        """Apply the next command of the log."""
        match command:
            case SubmitRelease():
                return self._submit(command)
            case ActivateRelease():
                return self._activate(command.position)

    def _submit(self, command: SubmitRelease) -> SubmissionOutcome:
        approval = command.approval
        answer = self.find_answer(approval.version, approval.digest)
        if answer is not None:
            return answer
        rejection = self._reject_version(approval.version)
        if rejection is not None:
            return rejection
        if command.base_digest != self._latest_digest():
            return BaseMoved(self._latest_digest())
        resources = self._build(command)
        if isinstance(resources, Err):
            return Refused(resources.err_value)
        return self._accept(resources.ok_value, command)

    def _reject_version(self, version: int) -> SubmissionOutcome | None:
        winner = self._answers.find(version)
        if winner is not None:
            return VersionConflict(version, winner.digest, winner.position)
        if version <= self._answers.forgotten_version:
            return Superseded(version, self.highest_version)
        if version <= self.highest_version:
            return StaleVersion(version, self.highest_version)
        return None

    def _latest_digest(self) -> bytes:
        latest = self.latest
        return latest.resources.digest if latest else EMPTY_DIGEST

    def _build(
        self,
        command: SubmitRelease,
    ) -> Result[ResourceSet, RefusalFault]:
        """Build the submitted content and check all that it claims."""
        decoded = decode_difference(command.difference)
        if isinstance(decoded, Err):
            return decoded
        base = self.latest.resources if self.latest else None
        target = apply_difference(base, decoded.ok_value)
        if isinstance(target, Err):
            return target
        resources = target.ok_value
        header = resources.header
        if header.mesh != self._mesh:
            fault = DifferenceFaultKind.OTHER_MESH
            return Err(DifferenceFault(fault, header.mesh))
        terms = check_terms(
            command.approval,
            mesh=self._mesh,
            version=header.version,
            digest=resources.digest,
        )
        if isinstance(terms, Err):
            return terms
        joined = join_resources(resources)
        return joined if isinstance(joined, Err) else Ok(resources)

    def _accept(
        self,
        resources: ResourceSet,
        command: SubmitRelease,
    ) -> Accepted:
        approval = command.approval
        position = self.latest_position + 1
        version = approval.version
        if version <= self.highest_version:
            raise InvariantViolation("accepted version does not rise")
        release = Release(position, resources, approval)
        self._history.add(KeptRelease(release, command.difference))
        self._history.forget(self._active_position)
        self._answers.add(
            ReleaseRecord(
                position,
                version,
                approval.digest,
                approval.key_id,
            ),
        )
        self._check()
        return Accepted(position, version, approval.digest)

    def _activate(self, position: int) -> ActivationOutcome:
        if position > self.latest_position:
            return NotActivatable(position, self.latest_position)
        if position <= self._active_position:
            return AlreadyActivated(position, self._active_position)
        self._active_position = position
        self._history.forget(position)
        self._check()
        return Activated(position)

    def _check(self) -> None:
        if self._active_position > self.latest_position:
            raise InvariantViolation("active release is not accepted")
        if self._active_position and self.active is None:
            raise InvariantViolation("active release is not kept")
        record = self._answers.find(self.highest_version)
        if record is None or record.position != self.latest_position:
            raise InvariantViolation("position and version part")
        if self._answers.forgotten_version >= self._answers.lowest_version:
            raise InvariantViolation("forgotten version is recorded")
