import contextlib
from dataclasses import dataclass, replace
from random import Random
from unittest import mock

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)
from result import Err, Ok

from rhubarbhollow_release import outcome as outcomes
from rhubarbhollow_release import release_history

# LedgerMachine uses this name.  Hypothesis derives its examples from
# its source, so renaming it there would change the examples.
from rhubarbhollow_release import submission_records as answer_book
from rhubarbhollow_release.approval import sign_approval
from rhubarbhollow_release.approval_fault import ApprovalFaultKind
from rhubarbhollow_release.command import (
    ActivateRelease,
    SubmitRelease,
    decode_command,
    encode_command,
)
from rhubarbhollow_release.difference import EMPTY_DIGEST, diff_resources
from rhubarbhollow_release.difference_codec import encode_difference
from rhubarbhollow_release.difference_fault import DifferenceFaultKind
from rhubarbhollow_release.invariant_violation import InvariantViolation
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.keys import generate_key
from rhubarbhollow_release.ledger import ReleaseLedger
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.manifest_fault import ManifestFaults
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service
from rhubarbhollow_release.snapshot import SnapshotFaultKind

KEY = Ed25519PrivateKey.from_private_bytes(bytes(32))
TRUSTED = {key_id_of(KEY.public_key()): KEY.public_key()}
KEPT_RECORDS = 6
KEPT_RELEASES = 3


def manifest_of(version, content, mesh="lab", service="s"):
    routes = tuple(
        Route(f"r{index}", "*", f"/{index}", service, 1000)
        for index in range(content)
    )
    return Manifest(1, mesh, version, (Service("s"),), routes)


def plan(ledger, version, content):
    manifest = manifest_of(version, content)
    digest = split_manifest(manifest).digest
    approval = sign_approval(KEY, "lab", version, digest)
    return ledger.plan_submission(manifest, approval).unwrap()


def new_ledger():
    return ReleaseLedger("lab", TRUSTED)


@dataclass
class NaiveLedger:
    """Reference model that stores every release in a list."""

    accepted: list
    active: int = 0
    kept_records: int = KEPT_RECORDS

    def submit(self, version, digest, base):
        recorded = self.accepted[-self.kept_records :]
        evicted = self.accepted[: -self.kept_records]
        highest = self.accepted[-1][0] if self.accepted else 0
        for index, (other, accepted) in enumerate(self.accepted):
            if other != version or (other, accepted) not in recorded:
                continue
            if accepted == digest:
                return outcomes.AlreadyAccepted(index + 1, version, digest)
            return outcomes.VersionConflict(version, accepted, index + 1)
        if evicted and version <= evicted[-1][0]:
            return outcomes.Superseded(version, highest)
        if version <= highest:
            return outcomes.StaleVersion(version, highest)
        latest = self.accepted[-1][1] if self.accepted else EMPTY_DIGEST
        if base != latest:
            return outcomes.BaseMoved(latest)
        self.accepted.append((version, digest))
        return outcomes.Accepted(len(self.accepted), version, digest)

    def activate(self, position):
        if position > len(self.accepted):
            return outcomes.NotActivatable(position, len(self.accepted))
        if position <= self.active:
            return outcomes.AlreadyActivated(position, self.active)
        self.active = position
        return outcomes.Activated(position)


class LedgerMachine(RuleBasedStateMachine):
    """Drive two replicas and the naive ledger by the same commands."""

    commands = Bundle("commands")

    def __init__(self):
        super().__init__()
        self._patches = contextlib.ExitStack()
        for module, name, value in (
            (answer_book, "MAX_RECORDS", KEPT_RECORDS),
            (release_history, "MAX_PAST_RELEASES", KEPT_RELEASES),
        ):
            patch = mock.patch.object(module, name, value)
            self._patches.enter_context(patch)
        self.ledger = new_ledger()
        # Trusts no key: outcomes must not depend on local settings.
        self.replica = ReleaseLedger("lab", {})
        self.naive = NaiveLedger([])

    def teardown(self):
        self._patches.close()

    @rule(
        target=commands,
        step=st.integers(-9, 3),
        content=st.integers(0, 3),
    )
    def plan(self, step, content):
        version = max(1, self.ledger.highest_version + step)
        return plan(self.ledger, version, content)

    @rule(command=commands)
    def submit(self, command):
        approval = command.approval
        expected = self.naive.submit(
            approval.version,
            approval.digest,
            command.base_digest,
        )
        self._apply(command, expected)

    @rule(content=st.integers(0, 3), target=commands)
    def submit_next(self, content):
        command = plan(self.ledger, self.ledger.highest_version + 1, content)
        self.submit(command)
        return command

    @rule(step=st.integers(-3, 3))
    def activate(self, step):
        position = max(0, self.ledger.latest_position + step)
        expected = self.naive.activate(position)
        self._apply(ActivateRelease(position), expected)

    @rule()
    def restart(self):
        snapshot = self.ledger.snapshot()
        restored = ReleaseLedger.restore(snapshot, "lab", TRUSTED)
        self.ledger = restored.unwrap()

    @rule()
    def install_snapshot(self):
        snapshot = self.ledger.snapshot()
        self.replica = ReleaseLedger.restore(snapshot, "lab", {}).unwrap()

    def _apply(self, command, expected):
        command = decode_command(encode_command(command)).unwrap()
        assert self.ledger.apply(command) == expected
        assert self.replica.apply(command) == expected

    @invariant()
    def agrees(self):
        assert self.ledger.snapshot() == self.replica.snapshot()
        accepted, active = self.naive.accepted, self.naive.active
        assert self.ledger.latest_position == len(accepted)
        assert self.ledger.active_position == active
        oldest = max(1, min(active, len(accepted) - KEPT_RELEASES))
        if not accepted:
            return
        for position in range(len(accepted) + 2):
            release = self.ledger.release_at(position)
            is_kept = oldest <= position <= len(accepted)
            assert (release is not None) == is_kept
            if release is not None:
                held = (release.approval.version, release.resources.digest)
                assert held == accepted[position - 1]
                resources = self.ledger.resources_at(position)
                assert resources is release.resources


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)


@pytest.mark.parametrize("seed", [1, 2])
def test_matches_the_reference_model_with_concurrent_operators(seed):
    naive, ledger = run_history(seed)
    # The history is long enough for the oldest content to be pruned.
    assert len(naive.accepted) > release_history.MAX_PAST_RELEASES
    assert ledger.release_at(1) is None


def run_history(seed):
    """Compare each step of a seeded history with the model."""
    random = Random(seed)
    ledger, replica = new_ledger(), ReleaseLedger("lab", {})
    naive = NaiveLedger([], kept_records=answer_book.MAX_RECORDS)
    sent = []
    for _ in range(1000):
        match random.choice(("race", "send", "resend", "activate", "restart")):
            case "race" | "send":
                step = random.choice((1, 1, 1, 0, 2, -3))
                version = max(1, ledger.highest_version + step)
                sent.append(plan(ledger, version, random.randrange(4)))
                continue
            case "resend" if sent:
                # Most are recent, some are very old.
                count = random.choice((2, 2, len(sent)))
                command = random.choice(sent[-count:])
                approval = command.approval
                expected = naive.submit(
                    approval.version,
                    approval.digest,
                    command.base_digest,
                )
            case "activate":
                position = max(0, len(naive.accepted) - random.randrange(3))
                command = ActivateRelease(position)
                expected = naive.activate(position)
            case _:
                snapshot = ledger.snapshot()
                assert replica.snapshot() == snapshot
                ledger = ReleaseLedger.restore(snapshot, "lab", TRUSTED).ok()
                continue
        assert ledger.apply(command) == expected
        assert replica.apply(command) == expected
    return naive, ledger


def test_replay_does_not_depend_on_the_trusted_keys():
    """Guard against replicas that diverge while a key is replaced.

    Trusted keys are local settings; a replay with other keys must give
    the same outcomes and the same state.
    """
    ledger, later = new_ledger(), ReleaseLedger("lab", {})
    commands = [plan(ledger, 1, 1), ActivateRelease(1)]
    for command in commands:
        assert ledger.apply(command) == later.apply(command)
    assert ledger.snapshot() == later.snapshot()


def test_repeats_the_first_answer_after_its_key_was_replaced():
    """Guard against refusing a repeated submission after a key change.

    A client that lost the first answer sends the release again, signed
    by a key that is no longer trusted.
    """
    ledger = new_ledger()
    first = plan(ledger, 1, 1)
    ledger.apply(first)
    ledger.apply(plan(ledger, 2, 2))
    later = ReleaseLedger.restore(ledger.snapshot(), "lab", {}).unwrap()
    planned = later.plan_submission(manifest_of(1, 1), first.approval)
    command = planned.unwrap()
    assert command.difference == b""
    answer = outcomes.AlreadyAccepted(1, 1, first.approval.digest)
    assert later.apply(command) == answer
    forged = replace(first.approval, mesh="sea")
    fault = later.plan_submission(manifest_of(1, 1), forged).err_value
    assert fault.kind is ApprovalFaultKind.OTHER_MESH
    unknown = later.plan_submission(manifest_of(3, 1), first.approval)
    assert isinstance(unknown, Err)


def test_reverting_content_takes_a_new_version_and_position():
    ledger = new_ledger()
    for version, content in ((1, 1), (2, 2), (3, 1)):
        ledger.apply(plan(ledger, version, content))
        ledger.apply(ActivateRelease(version))
    assert ledger.active.position == 3
    first, last = ledger.resources_at(1), ledger.resources_at(3)
    assert first.resources == last.resources
    assert first.digest != last.digest


def test_evicts_the_oldest_records(monkeypatch):
    monkeypatch.setattr(answer_book, "MAX_RECORDS", 2)
    ledger = new_ledger()
    commands = {version: plan(ledger, version, 1) for version in (2, 4, 6)}
    for version, content in ((2, 1), (4, 2), (6, 3), (8, 4)):
        ledger.apply(plan(ledger, version, content))
    answers = {
        version: type(ledger.apply(plan(ledger, version, 5)))
        for version in range(2, 9)
    }
    assert answers == {
        **dict.fromkeys((2, 3, 4), outcomes.Superseded),
        **dict.fromkeys((5, 7), outcomes.StaleVersion),
        **dict.fromkeys((6, 8), outcomes.VersionConflict),
    }
    assert ledger.apply(commands[2]) == outcomes.Superseded(2, 8)


def test_releases_share_unchanged_resources():
    ledger = new_ledger()
    ledger.apply(plan(ledger, 1, 2))
    ledger.apply(plan(ledger, 2, 3))
    old, new = ledger.resources_at(1), ledger.resources_at(2)
    assert all(resource in new.resources for resource in old.resources)
    identities = {id(resource) for resource in new.resources}
    assert {id(resource) for resource in old.resources} <= identities


def test_plans_only_approved_submissions():
    ledger = new_ledger()
    manifest = manifest_of(1, 1)
    digest = split_manifest(manifest).digest
    stranger = sign_approval(generate_key(), "lab", 1, digest)
    for approval, kind in (
        (stranger, ApprovalFaultKind.UNKNOWN_KEY),
        (
            sign_approval(KEY, "lab", 2, digest),
            ApprovalFaultKind.OTHER_VERSION,
        ),
        (sign_approval(KEY, "sea", 1, digest), ApprovalFaultKind.OTHER_MESH),
        (
            sign_approval(KEY, "lab", 1, bytes(32)),
            ApprovalFaultKind.OTHER_DIGEST,
        ),
    ):
        planned = ledger.plan_submission(manifest, approval)
        assert planned.err_value.kind is kind
    fault = ledger.check_signature(stranger).err_value
    assert fault.kind is ApprovalFaultKind.UNKNOWN_KEY
    good = sign_approval(KEY, "lab", 1, digest)
    assert ledger.check_signature(good) == Ok(None)


def submission(manifest, approval_of=None, base=None, damage=b""):
    target = split_manifest(manifest)
    terms = {"mesh": "lab", "version": 1, "digest": target.digest}
    approval = sign_approval(KEY, **{**terms, **(approval_of or {})})
    difference = diff_resources(base, target)
    encoded = encode_difference(difference) + damage
    return SubmitRelease(difference.base_digest, encoded, approval)


OTHER_BASE = split_manifest(manifest_of(9, 2))


@pytest.mark.parametrize(
    ("command", "kind"),
    [
        (
            submission(manifest_of(1, 1), {"mesh": "sea"}),
            ApprovalFaultKind.OTHER_MESH,
        ),
        (
            submission(manifest_of(1, 1), {"version": 2}),
            ApprovalFaultKind.OTHER_VERSION,
        ),
        (
            submission(manifest_of(1, 1), {"digest": bytes(32)}),
            ApprovalFaultKind.OTHER_DIGEST,
        ),
        (
            submission(manifest_of(1, 1, mesh="sea")),
            DifferenceFaultKind.OTHER_MESH,
        ),
        (
            submission(manifest_of(1, 1), damage=b"x"),
            DifferenceFaultKind.MALFORMED,
        ),
        (
            replace(
                submission(manifest_of(1, 1), base=OTHER_BASE),
                base_digest=EMPTY_DIGEST,
            ),
            DifferenceFaultKind.BASE_MISMATCH,
        ),
    ],
)
def test_a_refused_submission_changes_no_state(command, kind):
    ledger = new_ledger()
    before = ledger.snapshot()
    assert ledger.apply(command).fault.kind is kind
    assert ledger.snapshot() == before


def test_refuses_missing_references_even_when_approved():
    ledger = new_ledger()
    outcome = ledger.apply(submission(manifest_of(1, 1, service="none")))
    assert isinstance(outcome.fault, ManifestFaults)
    assert ledger.latest is None
    assert ledger.active is None


def test_raises_on_a_broken_invariant():
    ledger = new_ledger()
    ledger.apply(plan(ledger, 1, 1))
    ledger._records._forgotten_version = 1
    with pytest.raises(InvariantViolation):
        ledger.apply(ActivateRelease(1))


@pytest.fixture
def snapshot():
    ledger = new_ledger()
    for version in (1, 2, 3):
        ledger.apply(plan(ledger, version, version))
    ledger.apply(ActivateRelease(2))
    return ledger.snapshot()


def test_rejects_damaged_and_truncated_snapshots(snapshot):
    for index in range(len(snapshot)):
        damaged = bytearray(snapshot)
        damaged[index] ^= 1 << index % 8
        restored = ReleaseLedger.restore(bytes(damaged), "lab", TRUSTED)
        assert restored.err_value.kind is SnapshotFaultKind.CHECKSUM
        cut = ReleaseLedger.restore(snapshot[:index], "lab", TRUSTED)
        assert isinstance(cut, Err)


def test_rejects_the_snapshot_of_another_mesh(snapshot):
    restored = ReleaseLedger.restore(snapshot, "sea", TRUSTED)
    assert restored.err_value.kind is SnapshotFaultKind.OTHER_MESH


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"X",
        b"A",
        b"A" + bytes(9),
        b"S" + bytes(33),
        b"S" + bytes(32) + b"\x00\x09{}",
        b"S" + bytes(32) + b"\x00\x02{}",
        b"S" + bytes(32) + b"\x00\x02{}" + bytes((8 << 20) + 1),
    ],
    ids=lambda data: repr(data)[:20],
)
def test_rejects_malformed_commands(data):
    assert isinstance(decode_command(data), Err)
