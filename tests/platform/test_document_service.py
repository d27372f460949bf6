"""Compare-and-swap submission of documents on a release ledger."""

import json
from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon.document_outcome import DocumentVerdict
from rhubarbhollow_daemon.document_relay import DocumentRelay
from rhubarbhollow_daemon.document_service import DocumentService
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeRequest
from rhubarbhollow_daemon.release_log import ReleaseLog
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_platform.configuration_format import ConfigurationFormat
from rhubarbhollow_release.command import ActivateRelease, encode_command
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

    async def confirm_commit_index(self):
        return self.status.commit_index if self.is_confirmed else None

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


class Links:
    """Deliver messages between the logs of named instances."""

    incarnation = 1

    def __init__(self, name, group, logs):
        self.name = name
        self.group = group
        self.logs = logs
        self.by_name = {
            other: SimpleNamespace(is_up=True) for other in ("c1", "c2")
        }
        self.sent = []

    def send(self, to, message):
        self.sent.append(message)
        log = self.logs[to]
        if isinstance(message, ProposeRequest):
            self.group.start_soon(log.serve, self.name, message)
        else:
            log.deliver_answer(message)


def release_log_on(log, links=None):
    links = links or SimpleNamespace(by_name={}, incarnation=1)
    return ReleaseLog(log, log.machine, links)


def documents_on(log, release_log=None):
    return DocumentService(
        MESH,
        log.machine,
        release_log or release_log_on(log),
        ConfigurationFormat(MESH),
    )


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
    relay = DocumentRelay(
        release_log_on(log),
        log.machine,
        documents_on(log),
        ConfigurationFormat(MESH),
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


class Pair:
    """A leader "c1" and a follower "c2" with ledgers of their own."""

    def __init__(self, group):
        self.leader, self.follower = Log(), Log()
        self.follower.status = SimpleNamespace(
            role=Role.FOLLOWER, leader="c1", commit_index=0, applied_index=0
        )
        logs = {}
        self.links = Links("c2", group, logs)
        logs["c1"] = release_log_on(self.leader, Links("c1", group, logs))
        logs["c2"] = release_log_on(self.follower, self.links)
        self.documents = {
            "c1": documents_on(self.leader, logs["c1"]),
            "c2": documents_on(self.follower, logs["c2"]),
        }
        self.log = logs["c2"]
        self.entries = []
        propose = self.leader.propose

        async def record(payload):
            self.entries.append(payload)
            outcome = await propose(payload)
            status = self.leader.status
            status.commit_index = status.applied_index = self.leader.index
            return outcome

        self.leader.propose = record

    def catch_up(self):
        while self.follower.index < len(self.entries):
            entry = self.entries[self.follower.index]
            self.follower.index += 1
            self.follower.machine.apply(self.follower.index, entry)
        self.follower.status.applied_index = self.follower.index
        self.log._on_applied(self.follower.index)

    async def submit(self, name, data, base):
        outcome = await self.documents[name].submit(data, base)
        return outcome.verdict


def pair_test(check):
    async def main():
        async with anyio.create_task_group() as group:
            with anyio.fail_after(5):
                await check(Pair(group))

    anyio.run(main)


def test_a_follower_relays_only_what_changes():
    """Guard against a whole document that crosses data centres."""

    async def check(pair):
        routes = [
            {
                "Name": f"r-{number}",
                "Kind": "safe",
                "Match": {"PathPrefix": f"/{number}/"},
                "Action": {"Service": "desk", "TimeoutS": 1},
            }
            for number in range(500)
        ]
        value = json.loads(document(2))
        value["Listeners"][0]["RuleTables"] = routes
        accepted = DocumentVerdict.ACCEPTED
        data = json.dumps(value).encode()
        assert await pair.submit("c1", data, 0) is accepted
        pair.catch_up()
        value["Version"] = f"{3:08x}"
        routes[7]["Action"]["TimeoutS"] = 2
        data = json.dumps(value).encode()
        assert await pair.submit("c2", data, 2) is accepted
        assert pair.leader.machine.ledger.highest_version == 3
        (request,) = pair.links.sent
        assert len(request.payload) < 700
        # A repetition gets the first answer, here and at the leader.
        assert await pair.submit("c2", data, 2) is accepted
        assert await pair.submit("c1", data, 2) is accepted

    pair_test(check)


def test_a_follower_that_is_behind_compares_with_the_latest_release():
    """Its ledger catches up before a document is planned or refused."""

    async def check(pair):
        accepted = DocumentVerdict.ACCEPTED
        assert await pair.submit("c1", document(2), 0) is accepted
        pair.catch_up()
        assert await pair.submit("c1", document(5, "bench"), 2) is accepted
        verdicts = []

        async def submit(data, base):
            verdicts.append(await pair.submit("c2", data, base))

        async with anyio.create_task_group() as group:
            group.start_soon(submit, document(7), 5)
            await anyio.wait_all_tasks_blocked()
            assert not verdicts
            pair.catch_up()
        async with anyio.create_task_group() as group:
            # The follower still believes that 5 is the latest version.
            group.start_soon(submit, document(9, "bench"), 5)
            await anyio.wait_all_tasks_blocked()
            assert len(verdicts) == 1
            pair.catch_up()
        assert verdicts == [accepted, DocumentVerdict.CONFLICT]
        assert pair.leader.machine.ledger.highest_version == 7

    pair_test(check)


def test_a_lost_leader_leaves_the_outcome_of_a_command_unknown():
    async def check(pair):
        pair.links.send = lambda to, message: None
        release_log = pair.log
        with anyio.move_on_after(2):
            outcome = await release_log.propose(b"")
        assert outcome.verdict is DocumentVerdict.UNKNOWN
        pair.links.by_name["c1"].is_up = False
        outcome = await release_log.propose(b"")
        assert outcome.verdict is DocumentVerdict.UNAVAILABLE
        assert not await release_log.confirm()

    pair_test(check)


@pytest.mark.parametrize(
    ("kind", "payload", "verdict"),
    [
        (SubmissionKind.COMMAND, b"", DocumentVerdict.INVALID),
        (SubmissionKind.COMMAND, b"S" * 90, DocumentVerdict.INVALID),
        (
            SubmissionKind.COMMAND,
            encode_command(ActivateRelease(1)),
            DocumentVerdict.INVALID,
        ),
        (2, b"\0" * 9, DocumentVerdict.UNAVAILABLE),
        (99, b"", DocumentVerdict.UNAVAILABLE),
    ],
)
def test_a_relayed_request_that_is_no_submission_is_not_stored(
    kind, payload, verdict
):
    """Guard against a log entry that no instance checked.

    Kind 2 carried a whole document in earlier versions.
    """

    async def check(pair):
        answers = []
        pair.links.logs["c2"].deliver_answer = answers.append
        request = ProposeRequest(1, LogGroup.RELEASES, payload, kind)
        await pair.links.logs["c1"].serve("c2", request)
        assert [answer.status for answer in answers] == [verdict]
        assert pair.entries == []

    pair_test(check)
