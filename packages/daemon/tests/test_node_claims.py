import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_calls.claim import AbandonClaim, ClaimKey
from rhubarbhollow_calls.claim_outcome import AlreadyRunning, Claimed
from rhubarbhollow_daemon.claim_client import ClaimUnavailable
from rhubarbhollow_daemon.node_claims import NodeClaims

LOST = Err(ClaimUnavailable())


class Client:
    node = "n1"
    incarnation = 1

    def __init__(self, script):
        self._script = list(script)
        self.committed = []

    async def commit(self, command, timeout_seconds):
        self.committed.append(type(command))
        return self._script.pop(0)

    async def run(self):
        claims = NodeClaims(self)
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
