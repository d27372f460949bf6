"""Guards against departures acknowledged without a durable record."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon import departure_service
from rhubarbhollow_daemon.departure_client import DepartureClient
from rhubarbhollow_daemon.departure_service import DepartureService
from rhubarbhollow_daemon.document_outcome import DocumentVerdict
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeRequest
from rhubarbhollow_daemon.release_log import ReleaseLog
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_distribution.departure import Departure
from rhubarbhollow_distribution.departure_command import (
    RecordDepartures,
    encode_departure_command,
)
from rhubarbhollow_distribution.departure_messages import (
    DepartureAnswer,
    DepartureRequest,
)
from rhubarbhollow_replication.fault import NotLeader, OutcomeUnknown
from rhubarbhollow_replication.role import Role

GONE = Departure("a", 5, 7, is_withdrawn=True, noted_at_ms=9)
BAD = Departure("a b", 5, 7, is_withdrawn=True, noted_at_ms=9)


class Log:
    """Apply commands at once while a quorum answers."""

    def __init__(self) -> None:
        self.machine = ReleaseMachine("m", {})
        self.fault: object | None = None
        self.status = SimpleNamespace(
            role=Role.LEADER, leader="c1", applied_index=0
        )

    async def propose(self, payload: bytes) -> object:
        if self.fault is not None:
            return Err(self.fault)
        return Ok(self.machine.apply(1, payload))

    async def confirm_leadership(self) -> bool:
        return self.fault is None

    def on_applied(self, callback: object) -> None:
        pass


class Links:
    incarnation = 1

    def __init__(self) -> None:
        self.by_name = {}
        self.sent = []

    def send(self, to: str, message: object) -> None:
        self.sent.append(message)


def ask(log: Log, *departures: Departure, node: str = "n1") -> object:
    release_log = ReleaseLog(log, log.machine, Links())
    service = DepartureService(release_log, log.machine)
    answers: list[object] = []
    request = DepartureRequest(7, departures)
    anyio.run(service.serve_node, node, request, answers.append)
    (answer,) = answers
    return answer


def test_only_what_a_quorum_stored_is_confirmed() -> None:
    log = Log()
    for fault in (NotLeader(None), OutcomeUnknown()):
        log.fault = fault
        assert ask(log, GONE) == DepartureAnswer(7, False, ())
        assert ask(log) == DepartureAnswer(7, False, ())
    log.fault = None
    assert ask(log, BAD) == DepartureAnswer(7, False, ())
    assert ask(log, *[GONE] * 17) == DepartureAnswer(7, False, ())
    assert ask(log) == DepartureAnswer(7, True, ())
    assert ask(log, GONE) == DepartureAnswer(7, True, ())
    assert ask(log) == DepartureAnswer(7, True, (GONE,))
    assert ask(log, node="n2") == DepartureAnswer(7, True, ())


def test_a_stalled_quorum_is_not_waited_for(monkeypatch) -> None:
    monkeypatch.setattr(departure_service, "ANSWER_TIMEOUT_SECONDS", 0.01)
    log = Log()
    log.propose = lambda _: anyio.sleep_forever()
    assert ask(log, GONE) == DepartureAnswer(7, False, ())


@pytest.mark.parametrize(
    ("payload", "verdict"),
    [
        (
            encode_departure_command(RecordDepartures("n1", (GONE,))),
            DocumentVerdict.ACCEPTED,
        ),
        (
            encode_departure_command(RecordDepartures("n1", (BAD,))),
            DocumentVerdict.INVALID,
        ),
        (b"Dx", DocumentVerdict.INVALID),
    ],
)
def test_the_leader_checks_what_is_relayed(
    payload: bytes, verdict: DocumentVerdict
) -> None:
    log, links = Log(), Links()
    release_log = ReleaseLog(log, log.machine, links)
    request = ProposeRequest(
        1, LogGroup.RELEASES, payload, SubmissionKind.COMMAND
    )
    anyio.run(release_log.serve, "c2", request)
    assert links.sent[0].status == verdict
    is_stored = verdict is DocumentVerdict.ACCEPTED
    assert log.machine.departures.of("n1") == ((GONE,) if is_stored else ())


class Source:
    """Answer the requests of a node, or lose the first ones."""

    def __init__(self, lost: int, *answers: bool) -> None:
        self.lost = lost
        self.answers = list(answers)
        self.requests: list[DepartureRequest] = []
        self.client: DepartureClient | None = None

    def put(self, request: DepartureRequest) -> None:
        self.requests.append(request)
        if self.lost:
            self.lost -= 1
            return
        is_confirmed = self.answers.pop(0)
        answer = DepartureAnswer(
            request.request_id, is_confirmed, (GONE,) if is_confirmed else ()
        )
        self.client.deliver(answer)


def client_of(source: Source) -> DepartureClient:
    client = source.client = DepartureClient(source)
    return client


def test_a_request_waits_for_a_source_and_is_repeated(monkeypatch) -> None:
    """Guard against a request that ends with a connection."""
    monkeypatch.setattr(
        "rhubarbhollow_daemon.departure_client.ANSWER_TIMEOUT_SECONDS", 0.01
    )
    source = Source(2, False, True, True)
    client = client_of(source)

    async def main() -> None:
        assert not await client.record(GONE, 0.02)
        assert not source.requests
        client.set_connected(True)
        assert await client.record(GONE, 5.0)
        assert [each.departures for each in source.requests] == [(GONE,)] * 4
        client.set_connected(False)
        with anyio.move_on_after(0.02) as waiting:
            await client.recall()
        assert waiting.cancelled_caught
        client.set_connected(True)
        assert await client.recall() == (GONE,)

    anyio.run(main)
    assert source.requests[-1].departures == ()
    ids = [each.request_id for each in source.requests]
    assert len(set(ids)) == len(ids)


def test_an_answer_to_an_earlier_request_is_ignored() -> None:
    source = Source(1)
    client = client_of(source)
    client.set_connected(True)

    async def main() -> bool:
        client.deliver(DepartureAnswer(1, True, ()))
        client.deliver(DepartureAnswer(2, True, ()))
        return await client.record(GONE, 0.05)

    assert not anyio.run(main)
