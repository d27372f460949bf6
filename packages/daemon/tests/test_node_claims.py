"""Retries of claims and the abandoning of lost ones."""

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_calls.claim import AbandonClaim, ClaimKey
from rhubarbhollow_calls.claim_outcome import (
    AlreadyRunning,
    Answered,
    Claimed,
    StoredAnswer,
)
from rhubarbhollow_daemon.claim_client import ClaimUnavailable
from rhubarbhollow_daemon.node_claims import (
    MAX_RETRIES,
    RETRY_INTERVAL_SECONDS,
    NodeClaims,
)

LOST = Err(ClaimUnavailable())


class Client:
    """A claim client that returns scripted outcomes."""

    node = "n1"
    incarnation = 1

    def __init__(self, script):
        self._script = list(script)
        self.committed = []
        self.slept = 0.0

    async def commit(self, command, timeout_seconds):
        self.committed.append(type(command))
        return self._script.pop(0)

    async def sleep(self, seconds):
        self.slept += seconds

    async def run(self):
        claims = NodeClaims(self, self.sleep)
        answer = await claims.claim(b"k", b"f", 1)
        async with anyio.create_task_group() as group:
            group.start_soon(claims.abandon_lost_claims)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        return answer


@pytest.mark.parametrize(
    ("script", "abandon_count"),
    [
        ([Ok(Claimed(1))], 0),
        ([LOST, Ok(Claimed(1)), Ok(None)], 1),
        ([LOST, Ok(AlreadyRunning("n2"))], 0),
        # No quorum for longer than the timeout of a single commit.
        ([LOST, LOST, LOST, Ok(Claimed(1)), Ok(None)], 1),
        ([LOST, Ok(Claimed(1)), LOST, Ok(None)], 2),
    ],
)
def test_a_lost_claim_is_abandoned_once_a_quorum_returns(
    script, abandon_count
):
    """Guard against a recorded claim whose request never runs.

    The answer to the claim is lost, so the node does not know that it
    holds the claim, and every repeat of the request would be refused.
    """
    client = Client(script)
    answer = anyio.run(client.run)
    assert answer == (None if script[0] is LOST else Claimed(1))
    assert client.committed.count(AbandonClaim) == abandon_count
    assert client.committed.count(ClaimKey) == len(script) - abandon_count


RUNNING = Ok(AlreadyRunning("n2"))
STORED = Answered(StoredAnswer(200, (), b"done"))


@pytest.mark.parametrize(
    ("script", "answer", "pauses"),
    [
        ([RUNNING, RUNNING, Ok(STORED)], STORED, 2),
        ([RUNNING, Ok(Claimed(2))], Claimed(2), 1),
        ([RUNNING] * (MAX_RETRIES + 1), RUNNING.ok_value, MAX_RETRIES),
        ([RUNNING, LOST, RUNNING], None, 1),
    ],
)
def test_a_repeated_request_waits_for_the_stored_answer(
    script, answer, pauses
):
    """Guard against refusing a repeat as running after its answer.

    An answer is sent to the caller before it is stored.
    """
    client = Client(script)
    assert anyio.run(client.run) == answer
    assert client.slept == pytest.approx(pauses * RETRY_INTERVAL_SECONDS)
