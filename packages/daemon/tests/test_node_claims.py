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
    MAX_REPEATS,
    REPEAT_SECONDS,
    NodeClaims,
)

LOST = Err(ClaimUnavailable())


class Client:
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
            group.start_soon(claims.clear_lost)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        return answer


@pytest.mark.parametrize(
    ("script", "abandons"),
    [
        ([Ok(Claimed(1))], 0),
        ([LOST, Ok(Claimed(1)), Ok(None)], 1),
        ([LOST, Ok(AlreadyRunning("n2"))], 0),
        # a quorum that stays away for longer than one commit may take
        ([LOST, LOST, LOST, Ok(Claimed(1)), Ok(None)], 1),
        ([LOST, Ok(Claimed(1)), LOST, Ok(None)], 2),
    ],
)
def test_a_lost_claim_is_abandoned_whenever_a_quorum_returns(script, abandons):
    client = Client(script)
    answer = anyio.run(client.run)
    assert answer == (None if script[0] is LOST else Claimed(1))
    assert client.committed.count(AbandonClaim) == abandons
    assert client.committed.count(ClaimKey) == len(script) - abandons


RUNNING = Ok(AlreadyRunning("n2"))
STORED = Answered(StoredAnswer(200, (), b"done"))


@pytest.mark.parametrize(
    ("script", "answer", "pauses"),
    [
        ([RUNNING, RUNNING, Ok(STORED)], STORED, 2),
        ([RUNNING, Ok(Claimed(2))], Claimed(2), 1),
        ([RUNNING] * (MAX_REPEATS + 1), RUNNING.ok_value, MAX_REPEATS),
        ([RUNNING, LOST, RUNNING], None, 1),
    ],
)
def test_a_repeat_waits_a_little_for_the_answer_to_be_stored(
    script, answer, pauses
):
    client = Client(script)
    assert anyio.run(client.run) == answer
    assert client.slept == pytest.approx(pauses * REPEAT_SECONDS)
