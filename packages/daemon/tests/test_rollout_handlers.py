"""Guards the operators' orders on the admin port."""

from __future__ import annotations

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
from rhubarbhollow_daemon.rollout_handlers import RolloutHandlers
from rhubarbhollow_rollout.record import RolloutRecord

GOOD = {"service": "frame", "new_version": "v2", "duration_seconds": 1.5}


class Orders:
    def __init__(self, verdict: DocumentVerdict) -> None:
        self.verdict = verdict
        self.given: list[object] = []
        self.found: object = Ok(None)

    async def order(self, *order: object) -> DocumentOutcome:
        self.given.append(order)
        return DocumentOutcome(self.verdict, "why")

    async def read(self, service: str) -> object:
        return self.found


def send(orders: Orders, document: object) -> int:
    body = json.dumps(document).encode()
    request = HttpRequest("POST", "/v1/rollouts", "", body)
    return anyio.run(RolloutHandlers(orders).order, request, {}).status


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (DocumentVerdict.ACCEPTED, 200),
        (DocumentVerdict.CONFLICT, 409),
        (DocumentVerdict.INVALID, 422),
        (DocumentVerdict.UNAVAILABLE, 503),
        (DocumentVerdict.UNKNOWN, 504),
    ],
)
def test_verdicts(verdict: DocumentVerdict, status: int) -> None:
    orders = Orders(verdict)
    assert send(orders, GOOD) == status
    assert orders.given == [("frame", "v2", 1500)]


@pytest.mark.parametrize(
    "document",
    [
        [],
        {},
        {**GOOD, "more": 1},
        {**GOOD, "service": ""},
        {**GOOD, "new_version": None},
        {**GOOD, "duration_seconds": True},
        {**GOOD, "duration_seconds": 0},
        {**GOOD, "duration_seconds": 1e99},
        {**GOOD, "duration_seconds": "1"},
        {**GOOD, "duration_seconds": float("nan")},
    ],
)
def test_an_odd_order_is_refused(document: object) -> None:
    orders = Orders(DocumentVerdict.ACCEPTED)
    assert send(orders, document) == 400
    assert not orders.given


def test_the_latest_rollout_is_shown() -> None:
    orders = Orders(DocumentVerdict.ACCEPTED)

    def show() -> object:
        return anyio.run(
            RolloutHandlers(orders).show,
            SimpleNamespace(),
            {"service": "frame"},
        )

    assert show().status == 404
    orders.found = Ok(RolloutRecord("frame", "v2", 1500, 0, 1, 1))
    document = json.loads(show().body)
    assert document["state"] == "running"
    assert document["duration_seconds"] == 1.5
    orders.found = Err(DocumentOutcome(DocumentVerdict.UNAVAILABLE, "why"))
    assert show().status == 503
