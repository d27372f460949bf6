"""Guards orders of the platform's operators and their answers."""

import json
from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
)
from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_platform.rollout_port import RolloutPort
from rhubarbhollow_rollout.record import RolloutRecord, RolloutState

GOOD = {"Service": "frame", "NewVersion": "v2", "DurationS": 12.5}


class Orders:
    def __init__(self, verdict=DocumentVerdict.ACCEPTED):
        self.verdict = verdict
        self.given = []
        self.found = Ok(None)

    async def order(self, *order):
        self.given.append(order)
        return DocumentOutcome(self.verdict, "why")

    async def read(self, service):
        self.given.append(service)
        return self.found


def send(orders, document):
    body = document if isinstance(document, bytes) else json.dumps(document)
    body = body if isinstance(body, bytes) else body.encode()
    request = HttpRequest("POST", "/rhubarbhollow/rollouts", "", body)
    return anyio.run(RolloutPort(orders).order, request, {})


def test_an_order_is_passed_on():
    orders = Orders()
    assert send(orders, {**GOOD, "Note": "unknown"}).status == 200
    assert orders.given == [("frame", "v2", 12_500)]


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (DocumentVerdict.CONFLICT, 409),
        (DocumentVerdict.INVALID, 400),
        (DocumentVerdict.UNAVAILABLE, 503),
        (DocumentVerdict.UNKNOWN, 504),
    ],
)
def test_verdicts(verdict, status):
    assert send(Orders(verdict), GOOD).status == status


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        b"{",
        b"\xff",
        {**GOOD, "Service": ""},
        {**GOOD, "Service": 5},
        {**GOOD, "NewVersion": "a\nb"},
        {**GOOD, "NewVersion": "a" * 256},
        {**GOOD, "DurationS": 0},
        {**GOOD, "DurationS": -1},
        {**GOOD, "DurationS": 1e300},
        {**GOOD, "DurationS": "5"},
        {"Service": "frame"},
    ],
)
def test_an_odd_order_is_refused(document):
    orders = Orders()
    assert send(orders, document).status == 400
    assert not orders.given


def read(orders, service="frame"):
    request = SimpleNamespace(body=b"")
    return anyio.run(RolloutPort(orders).read, request, {"service": service})


def test_the_state_is_returned():
    orders = Orders()
    assert read(orders).status == 404
    orders.found = Ok(RolloutRecord("frame", "v2", 9, 0, 1, 1))
    answer = read(orders, "a%20b")
    assert orders.given[-1] == "a b"
    assert json.loads(answer.body) == {
        "State": "running",
        "NewVersion": "v2",
    }
    for state in ("completed", "rolled_back"):
        orders.found = Ok(
            RolloutRecord("frame", "v2", 9, 0, 1, 1, RolloutState(state))
        )
        assert json.loads(read(orders).body)["State"] == state
    orders.found = Err(DocumentOutcome(DocumentVerdict.UNAVAILABLE, "why"))
    assert read(orders).status == 503
