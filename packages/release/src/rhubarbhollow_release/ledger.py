"""The replicated state machine that orders and activates releases.

It is deterministic: the same commands in the same order give the same
states and outcomes on every replica, also when the log is replayed
later.  ``apply`` therefore ignores the trusted keys.  They are local
settings, which differ between replicas while a key is being replaced:
replicas could then assign one position to two releases.  Whether a
trusted key or channel gave the approval is checked before a command is
proposed, may be checked before it is stored, and is checked by every
node before it applies a release.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

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
from rhubarbhollow_release.difference_join import join_difference
from rhubarbhollow_release.invariant_violation import InvariantViolation
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
from rhubarbhollow_release.resource_set import ResourceSet, split_manifest
from rhubarbhollow_release.retained_release import RetainedRelease
from rhubarbhollow_release.snapshot import (
    SnapshotFault,
    SnapshotFaultKind,
    decode_state,
    encode_state,
)
from rhubarbhollow_release.submission_records import SubmissionRecords

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_release.approval_fault import ApprovalFault
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.trust import TrustAnchor


class ReleaseLedger:
    """Track the accepted releases and the one that is in force."""

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
        self._records = SubmissionRecords(
            state.records, state.forgotten_version
        )
        self._history = ReleaseHistory(state.releases)
        # The latest accepted manifest and its digest, by which the next
        # difference is checked; absent after a start.
        self._joined: tuple[bytes, Manifest] | None = None

    @property
    def mesh(self) -> str:
        """Return the name of the mesh."""
        return self._mesh

    @property
    def latest(self) -> Release | None:
        """Return the last accepted release, or ``None`` if none was."""
        return self._history.find(self.latest_position)

    @property
    def active(self) -> Release | None:
        """Return the release in force, or ``None`` if there is none."""
        return self._history.find(self._active_position)

    @property
    def latest_position(self) -> int:
        """Return the latest position, or 0 before the first release."""
        return self._history.latest_position

    @property
    def active_position(self) -> int:
        """Return the position in force, or 0 if there is none."""
        return self._active_position

    @property
    def highest_version(self) -> int:
        """Return the highest accepted version, or 0 if none was."""
        return self._records.highest_version

    @property
    def records(self) -> tuple[ReleaseRecord, ...]:
        """Return the records of accepted releases, oldest first."""
        return self._records.records

    @classmethod
    def restore(
        cls,
        snapshot: bytes,
        mesh: str,
        trusted: Mapping[str, TrustAnchor],
    ) -> Result[ReleaseLedger, SnapshotFault]:
        """Rebuild a ledger from a snapshot of the same mesh."""
        decoded = decode_state(snapshot)
        if isinstance(decoded, Err):
            return decoded
        state = decoded.ok_value
        if state.mesh != mesh:
            fault = SnapshotFault(SnapshotFaultKind.OTHER_MESH, state.mesh)
            return Err(fault)
        return Ok(cls(mesh, trusted, state))

    def snapshot(self) -> bytes:
        """Encode the whole state; equal states give equal bytes."""
        return encode_state(
            LedgerState(
                mesh=self._mesh,
                active_position=self._active_position,
                forgotten_version=self._records.forgotten_version,
                records=self._records.records,
                releases=self._history.releases,
            ),
        )

    def release_at(self, position: int) -> Release | None:
        """Return a release, or ``None`` if it is not retained."""
        return self._history.find(position)

    def resources_at(self, position: int) -> ResourceSet | None:
        """Return a release's resources, or ``None`` if not retained."""
        release = self._history.find(position)
        return release.resources if release else None

    def find_answer(
        self,
        version: int,
        digest: bytes,
    ) -> AlreadyAccepted | None:
        """Return the answer to a repeated submission of a release.

        It is ``None`` unless this version was accepted with this digest
        and its record is still stored.
        """
        record = self._records.find(version)
        if record is None or record.digest != digest:
            return None
        return AlreadyAccepted(record.position, version, digest)

    def plan_submission(
        self,
        manifest: Manifest,
        approval: Approval,
    ) -> Result[SubmitRelease, ApprovalFault]:
        """Build the command that submits a parsed manifest.

        Its difference starts from the latest release.  If another
        release is accepted before the command is applied, the outcome
        is ``BaseMoved`` and the submission must be planned again.  For
        a release that was accepted before, the command has no
        difference and its signature is not checked, since the key that
        signed it may have been replaced since.
        """
        return self.plan_resources(split_manifest(manifest), approval)

    def plan_resources(
        self,
        target: ResourceSet,
        approval: Approval,
    ) -> Result[SubmitRelease, ApprovalFault]:
        """Build the command that submits a resource set.

        See ``plan_submission``.
        """
        version = target.header.version
        if self.find_answer(version, target.digest) is not None:
            return self._plan_resubmission(target, approval)
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

    def _plan_resubmission(
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
        """Check that a key or channel trusted by this process approved.

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
        repeated = self.find_answer(approval.version, approval.digest)
        if repeated is not None:
            return repeated
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
        accepted = self._records.find(version)
        if accepted is not None:
            return VersionConflict(version, accepted.digest, accepted.position)
        if version <= self._records.forgotten_version:
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
        """Apply the submitted difference and check the result.

        Its mesh, its digest, the approval's fields and the references
        among its resources are checked.
        """
        decoded = decode_difference(command.difference)
        if isinstance(decoded, Err):
            return decoded
        difference = decoded.ok_value
        base = self.latest.resources if self.latest else None
        target = apply_difference(base, difference)
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
        joined = join_difference(
            self._manifest_of(difference.base_digest), difference, resources
        )
        if isinstance(joined, Err):
            return joined
        self._joined = resources.digest, joined.ok_value
        return Ok(resources)

    def _manifest_of(self, digest: bytes) -> Manifest | None:
        if self._joined is None or self._joined[0] != digest:
            return None
        return self._joined[1]

    def _accept(
        self,
        resources: ResourceSet,
        command: SubmitRelease,
    ) -> Accepted:
        approval = command.approval
        position = self.latest_position + 1
        version = approval.version
        if version <= self.highest_version:
            raise InvariantViolation(
                f"accepted version {version} is not above the highest "
                f"version {self.highest_version}"
            )
        release = Release(position, resources, approval)
        self._history.add(RetainedRelease(release, command.difference))
        self._history.prune(self._active_position)
        self._records.add(
            ReleaseRecord(
                position,
                version,
                approval.digest,
                approval.key_id,
            ),
        )
        self._check_invariants()
        return Accepted(position, version, approval.digest)

    def _activate(self, position: int) -> ActivationOutcome:
        if position > self.latest_position:
            return NotActivatable(position, self.latest_position)
        if position <= self._active_position:
            return AlreadyActivated(position, self._active_position)
        self._active_position = position
        self._history.prune(position)
        self._check_invariants()
        return Activated(position)

    def _check_invariants(self) -> None:
        if self._active_position > self.latest_position:
            raise InvariantViolation(
                f"active position {self._active_position} is above the "
                f"latest position {self.latest_position}"
            )
        if self._active_position and self.active is None:
            raise InvariantViolation(
                f"active release at position {self._active_position} is "
                "not retained"
            )
        record = self._records.find(self.highest_version)
        if record is None or record.position != self.latest_position:
            raise InvariantViolation(
                f"record of version {self.highest_version} is not at the "
                f"latest position {self.latest_position}"
            )
        if self._records.forgotten_version >= self._records.lowest_version:
            raise InvariantViolation(
                f"version {self._records.lowest_version} is both "
                "forgotten and recorded"
            )
