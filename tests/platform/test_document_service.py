"""Compare-and-swap submission of documents on a release ledger."""

import json
from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon.document_outcome import DocumentVerdict
from rhubarbhollow_daemon.document_relay import DocumentRelay
from rhubarbhollow_daemon.document_service import DocumentService
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_platform.configuration_format import ConfigurationFormat
from rhubarbhollow_release.operator_channel import (
    CHANNEL_KEY_ID,
    OperatorChannel,
)
from rhubarbhollow_replication.fault import NotLeader
from rhubarbhollow_replication.role import Role
from rhubarbhollow_wire.clock import ManualClock

MESH = "mesh"
TRUSTED = {CHANNEL_KEY_ID: OperatorChannel()}


class Log:
    """Apply each command at once, like a log with a single member."""

    def __init__(self):
        self.machine = ReleaseMachine(MESH, TRUSTED)
        self.is_confirmed = True
        self.before_apply = None
        self.index = 0
        self.status = SimpleNamespace(
            role=Role.LEADER, leader="c1", commit_index=0, applied_index=0
        )

    async def propose(self, payload):
        if not self.is_confirmed:
            return Err(NotLeader(None))
        if self.before_apply is not None:
            competing, self.before_apply = self.before_apply, None
            self.machine.apply(0, competing)
        self.index += 1
        return Ok(self.machine.apply(self.index, payload))

    async def confirm_leadership(self):
        return self.is_confirmed

    def on_applied(self, callback):
        pass


def document(version, service="desk"):
    action = {"Service": service, "TimeoutS": 1, "MaxAttempts": 2}
    rule = {
        "Name": "r",
        "Kind": "safe",
        "Match": {"PathPrefix": "/a/"},
        "Action": action,
    }
    return json.dumps(
        {
            "Version": f"{version:08x}",
            "Listeners": [{"Host": "h.example", "RuleTables": [rule]}],
            "Clusters": [{"Name": "desk"}, {"Name": "bench"}],
        }
    ).encode()


def documents_on(log):
    return DocumentService(MESH, log.machine, log, ConfigurationFormat(MESH))


def submit(documents, data, base):
    async def run():
        return (await documents.submit(data, base)).verdict

    return anyio.run(run)


def test_documents_follow_each_other():
    """A client repeats a submission whose answer it has lost."""
    documents = documents_on(Log())
    accepted = DocumentVerdict.ACCEPTED
    assert submit(documents, document(2), 0) is accepted
    assert submit(documents, document(5, "bench"), 2) is accepted
    # a repeated submission gets the first answer, even after another
    # document was accepted
    assert submit(documents, document(2), 0) is accepted


@pytest.mark.parametrize(
    ("data", "base", "verdict"),
    [
        (document(9, "bench"), 1, DocumentVerdict.CONFLICT),
        (document(2, "bench"), 0, DocumentVerdict.CONFLICT),
        (document(2, "bench"), 2, DocumentVerdict.INVALID),
        (document(1), 2, DocumentVerdict.INVALID),
        (document(9, "none"), 2, DocumentVerdict.INVALID),
        (document(9)[:-7], 2, DocumentVerdict.INVALID),
    ],
)
def test_a_conflicting_or_invalid_document_is_rejected(data, base, verdict):
    log = Log()
    documents = documents_on(log)
    submit(documents, document(2), 0)
    assert submit(documents, data, base) is verdict
    assert log.machine.ledger.highest_version == 2


def test_two_documents_on_one_version_are_not_both_accepted():
    """Another document commits between comparison and command.

    A leader that compared only before it proposed would accept both.
    """
    log = Log()
    documents = documents_on(log)
    submit(documents, document(2), 0)
    other = Log()
    other.machine = ReleaseMachine(MESH, TRUSTED)
    competing_documents = documents_on(other)
    submit(competing_documents, document(2), 0)
    captured = []
    propose = other.propose

    async def capture(payload):
        captured.append(payload)
        return await propose(payload)

    other.propose = capture
    submit(competing_documents, document(7), 2)
    log.before_apply = captured[0]
    verdict = submit(documents, document(7, "bench"), 2)
    assert verdict is DocumentVerdict.CONFLICT
    assert log.machine.ledger.latest_position == 2


def test_a_leader_that_is_not_confirmed_reports_no_conflict():
    """A deposed leader compares with an outdated version.

    It answers "unavailable", as a conflict may be wrong.
    """
    log = Log()
    documents = documents_on(log)
    submit(documents, document(2), 0)
    log.is_confirmed = False
    verdict = submit(documents, document(9), 1)
    assert verdict is DocumentVerdict.UNAVAILABLE


def test_a_read_needs_a_confirmed_leader():
    """A deposed leader would return an outdated document."""
    log = Log()
    submit(documents_on(log), document(2), 0)
    links = SimpleNamespace(by_name={}, incarnation=1)
    relay = DocumentRelay(
        log,
        log.machine,
        documents_on(log),
        ConfigurationFormat(MESH),
        links,
        ManualClock(),
    )
    read = anyio.run(relay.read)
    assert json.loads(read.ok_value) == json.loads(document(2))
    log.is_confirmed = False
    assert isinstance(anyio.run(relay.read), Err)


def test_a_new_leader_compares_only_after_it_has_applied_the_log():
    """A new leader's ledger may lack releases accepted before its term.

    They are applied by the quorum round that confirms its leadership;
    a comparison before it would report a false conflict.
    """
    log = Log()
    documents = documents_on(log)
    captured = []
    propose = log.propose

    async def capture(payload):
        captured.append(payload)
        return await propose(payload)

    log.propose = capture
    submit(documents, document(2), 0)
    behind = Log()

    async def apply_and_confirm():
        behind.machine.apply(1, captured[0])
        return True

    behind.confirm_leadership = apply_and_confirm
    verdict = submit(documents_on(behind), document(5, "bench"), 2)
    assert verdict is DocumentVerdict.ACCEPTED
    assert behind.machine.ledger.highest_version == 5
